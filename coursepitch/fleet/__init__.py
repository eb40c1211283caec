"""Groups of instances: what is known of them, who claims them, who orders them."""
