"""Batches: work that is accepted at once and run later."""
