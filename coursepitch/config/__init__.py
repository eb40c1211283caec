"""Settings, resources and the history of the configuration."""

from __future__ import annotations

from coursepitch.config.findings import Finding, Place

__all__ = ['Finding', 'Place']
