"""Tests of :mod:`coursepitch.fleet`."""
