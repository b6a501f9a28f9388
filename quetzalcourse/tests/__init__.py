"""Tests, laid out as the package is."""
