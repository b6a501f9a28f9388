"""Tests of the package of the same name."""
