"""Request path: admission, routing, attempts and streaming."""
