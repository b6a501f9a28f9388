"""Tests of ``quetzalcourse.platform``."""
