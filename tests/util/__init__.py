"""Tests of shared helpers."""
