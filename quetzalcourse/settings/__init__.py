"""Validation of process settings and the manifest."""
