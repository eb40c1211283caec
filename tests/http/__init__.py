"""Tests of :mod:`coursepitch.http`."""
