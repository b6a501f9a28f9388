"""Connections to upstreams: each request is written to a socket once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Handler = Callable[
        [aiohttp.ClientRequest], Awaitable[aiohttp.ClientResponse]
    ]

IDLE_CONNECTION_SECONDS = 4.0


class ConnectionLostError(aiohttp.ClientConnectionError):
    """Connection that was closed after a request may have been sent."""


def build_connector() -> aiohttp.TCPConnector:
    """Build the pool of connections.

    A server that closes an idle connection just as a request is written to
    it leaves the outcome unknown, and a call that may not be repeated ends
    in an error. Idle connections are closed here first: the shortest idle
    time of common servers is five seconds.
    """
    return aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=IDLE_CONNECTION_SECONDS,
    )


async def send_once(
    request: aiohttp.ClientRequest,
    handler: Handler,
) -> aiohttp.ClientResponse:
    """Keep the HTTP client from sending a request a second time.

    The client takes a PUT or DELETE on a connection that the server closed
    for repeatable and sends it again by itself. The upstream may have run
    it before the close, and the second run would show nowhere. Under
    another name the error passes through to whoever knows the call.

    :raises ConnectionLostError: in place of the errors that are retried.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error)) from error
