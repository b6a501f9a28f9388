"""Stand-ins for the users' platform, over real sockets on loopback."""
