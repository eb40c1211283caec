"""Settings, resources and the history of the configuration."""

from __future__ import annotations

from coursepitch.config.findings import Finding, Place
from coursepitch.config.settings import Settings, load_settings

__all__ = ['Finding', 'Place', 'Settings', 'load_settings']
