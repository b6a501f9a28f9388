"""Following the tables of the platform's store."""
