"""Bounded measurements on one machine; loopback only."""
