"""Scheduling of requests that wait for a target, without I/O."""
