"""Routing: health, load and cache state of upstreams, and their ranking."""
