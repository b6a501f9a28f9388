"""Service levels, their events, and the burn rates of their error budgets."""
