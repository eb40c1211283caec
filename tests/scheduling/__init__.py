"""Tests of the scheduling of waiting requests."""
