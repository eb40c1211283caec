"""The side that operators see."""
