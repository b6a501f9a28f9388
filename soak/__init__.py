"""Randomized soak test of daemon processes under externally injected faults."""
