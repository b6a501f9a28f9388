"""The manifest and the keys in force."""
