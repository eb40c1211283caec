"""Links between nodes and the records passed over them."""
