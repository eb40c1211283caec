"""The way of a request on a route: arrive, decide, send on."""
