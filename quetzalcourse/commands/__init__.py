"""Subcommands of quetzalctl, a module each."""
