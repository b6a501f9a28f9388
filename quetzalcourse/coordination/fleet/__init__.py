"""How many upstreams there should be, and the orders for them."""
