"""Gossip membership of the daemons, and what is unreachable."""
