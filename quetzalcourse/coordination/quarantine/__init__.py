"""Quarantine of requests that crash the upstreams which run them."""
