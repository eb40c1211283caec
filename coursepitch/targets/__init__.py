"""Clients of targets."""
