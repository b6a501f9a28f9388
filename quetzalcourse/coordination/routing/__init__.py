"""Which upstreams could run a request, best first."""
