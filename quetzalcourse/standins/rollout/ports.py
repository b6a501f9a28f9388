"""Reservation of TCP ports among the processes of one machine."""

from __future__ import annotations

import socket

HOST = '127.0.0.1'


class PortReservations:
    """Ports that this process has reserved until it ends.

    A daemon listens on a reserved port only while it runs. The UDP port of the
    same number is bound in its place all the time, so that the kernel tells
    other processes that the port is taken, and frees it with this process.
    """

    def __init__(self) -> None:
        """Start without a reservation."""
        self._sockets: list[socket.socket] = []

    def reserve(self, port: int) -> bool:
        """Reserve a port unless a process uses or has reserved it.

        :returns: whether the port was reserved.
        """
        if _is_listening(port):
            return False
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((HOST, port))
        except OSError:
            lock.close()
            return False
        self._sockets.append(lock)
        return True


def reserve_free_port() -> socket.socket:
    """Reserve a free port until the returned socket is closed.

    The socket does not listen, so that the port refuses connections until
    another socket of this process listens on it.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, 0))
    return reservation


def _is_listening(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((HOST, port)) == 0
