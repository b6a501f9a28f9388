"""Tests of routing."""
