"""HTTP servers and clients, and messaging between daemons."""
