"""Serving system for large models whose replicas span several instances."""

from __future__ import annotations

__all__ = ['__version__']

__version__ = '0.1.0'
