"""Adapters to targets: model engines."""
