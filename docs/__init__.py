"""Docs and the generator of their reference pages."""
