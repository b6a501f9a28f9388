"""Change feeds of the store's tables, member liveness and store relaying."""
