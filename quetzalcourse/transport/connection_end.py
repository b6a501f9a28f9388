"""How a TCP connection ended."""

from __future__ import annotations

import errno
import os
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

# Linux reports EPIPE for a reset that follows the peer's FIN, before which
# the peer's last byte arrived.
ORDERLY_END_ERRORS = frozenset((0, errno.EPIPE))


def find_end_error(
    transport: asyncio.BaseTransport | None,
) -> OSError | None:
    """Find the error that ended a connection of which the end was reported.

    A reset that arrives together with data may be reported as the end of the
    data: uvloop never reads the socket again after it has seen the hang-up.
    The socket still holds the error then, and returns it once.

    :returns: ``None`` if the peer closed the connection in an orderly way.
    """
    if transport is None:
        return None
    number = transport.get_extra_info('socket').getsockopt(
        socket.SOL_SOCKET, socket.SO_ERROR
    )
    if number in ORDERLY_END_ERRORS:
        return None
    return OSError(number, os.strerror(number))
