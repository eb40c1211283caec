"""Tests of the report on requests."""
