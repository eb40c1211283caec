"""Tests of :mod:`coursepitch.gateway`."""
