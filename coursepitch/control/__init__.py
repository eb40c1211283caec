"""Replica control plane: service session, duties, claims and placement."""
