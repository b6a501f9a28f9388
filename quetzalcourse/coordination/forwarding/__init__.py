"""Forwarding of callers' requests: upstream selection, timeouts and retries."""
