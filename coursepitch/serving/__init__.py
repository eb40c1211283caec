"""Serving of callers: admission, routing, attempts, streams."""
