"""Groups of instances: their state, their claims in the store, orders to them."""
