"""Listening TCP sockets."""

from __future__ import annotations

import socket

BACKLOG = 1024


def open_listener(address: str) -> socket.socket:
    """Open a listening socket.

    :param address: IP address and port; port 0 lets the system choose.
    """
    host, port = split_address(address)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into host and port."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def read_address(listener: socket.socket) -> str:
    """Return the ``IP:PORT`` that a socket listens on."""
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'
