"""Small stand-ins for the platform and the targets, for demos and tests."""
