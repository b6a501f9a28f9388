"""Addresses of processes, as text."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65535


def is_endpoint(address: str) -> bool:
    """Return whether an address is an IP address, a colon and a port."""
    host, _, port = address.rpartition(':')
    if not (port.isascii() and port.isdecimal()):
        return False
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
        return 0 < int(port) <= MAX_PORT
    except ValueError:
        return False
