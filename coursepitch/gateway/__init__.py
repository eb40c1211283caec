"""Request path of the gateway: admission, routing, forwarding and responses."""
