"""Tests of :mod:`soak`."""
