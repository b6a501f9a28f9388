"""Scaling: the number of upstreams of each service and data centre."""
