"""Promises, their events and the burn of their budgets."""
