"""Measurements with bounds."""
