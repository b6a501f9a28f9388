"""Usage accounting: counted once and reported with fixed content."""
