"""Randomized runs of real processes under faults, and what they must keep."""
