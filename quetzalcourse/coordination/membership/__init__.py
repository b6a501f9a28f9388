"""Which daemons are live, and what is cut off."""
