"""Gossip between nodes: links, and the records exchanged over them."""
