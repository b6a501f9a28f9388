"""Event loop that keeps descriptors safe when a connection is abandoned."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import uvloop

if TYPE_CHECKING:
    import socket


class EventLoop(uvloop.Loop):
    """uvloop's event loop, without its double close of a connected socket.

    If the setup of a transport is cancelled, uvloop closes the descriptor of
    the given socket, but the socket object still holds its number. Closed
    later, the object would close whatever has got the number since: another
    caller's connection or a listener.
    """

    async def create_connection(
        self,
        *arguments: Any,
        sock: socket.socket | None = None,
        **options: Any,
    ) -> Any:
        """Open a transport, with a descriptor of its own for a given socket.

        :param sock: connected socket, closed once a transport is open.
        """
        if sock is None:
            return await super().create_connection(*arguments, **options)
        owned = sock.dup()
        try:
            connection = await super().create_connection(
                *arguments, sock=owned, **options
            )
        except BaseException:
            # The transport has closed the descriptor.
            owned.detach()
            raise
        sock.close()
        return connection


def create_loop() -> EventLoop:
    """Create an event loop without io_uring.

    libuv sets up io_uring and keeps an ``io_uring`` descriptor open, which
    the rules of the machines forbid, unless an environment variable says
    otherwise before the loop is created. It is set here so that no caller
    has to set it in a shell.
    """
    os.environ['UV_USE_IO_URING'] = '0'
    return EventLoop()
