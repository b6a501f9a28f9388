"""Randomized soak of real daemons with faults injected from outside."""
