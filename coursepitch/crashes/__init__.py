"""Requests that crash instances: what is seen, told, concluded and stored of them."""
