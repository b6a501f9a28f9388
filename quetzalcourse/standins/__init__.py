"""Stand-in servers for engines, plain services and the platform."""
