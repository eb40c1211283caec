"""Tests of :mod:`coursepitch.crashes`."""
