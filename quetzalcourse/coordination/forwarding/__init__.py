"""Where a caller's request goes, and what becomes of each attempt."""
