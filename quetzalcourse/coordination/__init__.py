"""Coordination logic: which daemon and engine runs what, and when."""
