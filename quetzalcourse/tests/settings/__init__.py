"""Tests of ``quetzalcourse.settings``."""
