"""Adapter to the platform that the daemons run on; it only translates."""
