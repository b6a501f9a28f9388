"""Leases with fencing tokens, and the leader election that renews them."""
