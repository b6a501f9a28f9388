"""Addresses of processes, as text."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def is_endpoint(address: str) -> bool:
    """Return whether an address is an IPv4 address, a colon and a port."""
    host, _, port = address.rpartition(':')
    if not (port.isascii() and port.isdecimal()):
        return False
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return len(port) <= MAX_PORT_DIGITS and 0 < int(port) <= MAX_PORT
