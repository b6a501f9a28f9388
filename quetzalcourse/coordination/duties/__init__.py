"""Singleton tasks, which run on the one daemon that holds the lease."""
