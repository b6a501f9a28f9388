"""Training steps: each sample once, with its weights, on time."""
