"""Tests of ``quetzalcourse.commands``."""
