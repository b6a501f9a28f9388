"""Fleet scaling: the number of upstreams, and orders for them."""
