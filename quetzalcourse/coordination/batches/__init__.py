"""Batches: asynchronous jobs, accepted at once and run later."""
