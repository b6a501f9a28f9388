"""Training steps: exactly-once, version-labelled delivery on time."""
