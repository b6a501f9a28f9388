"""Tests of a daemon on a platform, whole and part by part."""
