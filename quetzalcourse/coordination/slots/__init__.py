"""Admission of requests to upstream slots and their division among daemons."""
