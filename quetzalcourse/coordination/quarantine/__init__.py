"""Requests that end the upstreams which run them."""
