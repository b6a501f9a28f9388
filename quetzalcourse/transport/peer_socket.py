"""Push socket to one peer, which lasts as long as one connection."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pynng

if TYPE_CHECKING:
    from datetime import timedelta

SEND_BUFFER_MESSAGES = 32
RECONNECT_MIN_MS = 200
RECONNECT_MAX_MS = 5000


@dataclass(slots=True)
class ConnectionState:
    """State of a socket's only connection, shared with the threads of nng.

    :param opened: whether a connection was accepted.
    :param lost: whether that connection has closed.
    """

    opened: bool = False
    lost: bool = False
    lock: threading.Lock = field(default_factory=threading.Lock)

    def on_connecting(self, pipe: pynng.Pipe) -> None:
        """Accept the first connection and reject later ones."""
        if self.opened:
            pipe.close()
        self.opened = True

    def on_closed(self, _: pynng.Pipe) -> None:
        """Record the loss before nng frees the connection."""
        with self.lock:
            self.lost = True


class PeerSocket:
    """Sends to one address over a single connection.

    nng's push protocol may list a connection as ready to send after it has
    closed, and the next send or reconnect then accesses freed memory. So no
    send starts once the connection is lost, and the owner opens a new socket
    instead of waiting for a reconnect.

    :param address: IP address and port of the peer.
    :param last_used: monotonic time of the latest message.
    """

    def __init__(self, address: str, last_used: timedelta) -> None:
        """Start to connect in the background."""
        self.last_used = last_used
        self._state = ConnectionState()
        self._socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._socket.add_pre_pipe_connect_cb(self._state.on_connecting)
        self._socket.add_post_pipe_remove_cb(self._state.on_closed)
        self._socket.dial(f'tcp://{address}', block=False)

    @property
    def lost(self) -> bool:
        """Whether the connection has closed, which makes the socket useless."""
        return self._state.lost

    def send(self, message_bytes: bytes) -> bool:
        """Send a message without blocking; it may be lost.

        :returns: whether the socket took the message.
        """
        # nng frees a closed connection only after ``on_closed`` has returned,
        # which waits for this lock.
        with self._state.lock:
            if self._state.lost:
                return False
            try:
                self._socket.send(message_bytes, block=False)
            except pynng.NNGException:
                return False
        return True

    def close(self) -> None:
        """Close the socket and drop its buffered messages."""
        self._socket.close()
