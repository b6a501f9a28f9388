"""Leases with fencing tokens, and keeping them renewed."""
