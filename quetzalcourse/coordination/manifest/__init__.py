"""Storage and gossip of the manifest and of API keys."""
