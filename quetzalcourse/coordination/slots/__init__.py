"""Who may use the slots of an upstream, and when."""
