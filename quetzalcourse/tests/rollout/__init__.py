"""Tests of daemons on a platform."""
