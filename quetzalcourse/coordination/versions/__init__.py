"""Bringing named weight versions onto the upstreams."""
