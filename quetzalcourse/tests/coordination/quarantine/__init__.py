"""Tests of the quarantine of requests."""
