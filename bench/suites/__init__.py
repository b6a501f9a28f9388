"""Measures of one matter each; a module names its figures."""
