"""Loads of named weight versions on the upstreams."""
