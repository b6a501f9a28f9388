"""Usage counted once and reported in one form."""
