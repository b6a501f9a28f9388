"""Stand-ins for the users' platform, on real loopback sockets."""
