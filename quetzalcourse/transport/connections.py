"""HTTP sessions that take no broken response, and retry nothing unasked."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp

from quetzalcourse.transport.response_protocol import StrictConnector

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Handler = Callable[
        [aiohttp.ClientRequest], Awaitable[aiohttp.ClientResponse]
    ]

IDLE_CONNECTION_SECONDS = 4.0


class ConnectionLostError(aiohttp.ClientConnectionError):
    """The connection closed after the request may have been sent."""


def open_session(
    connector: StrictConnector | None = None, **options: Any
) -> aiohttp.ClientSession:
    """Open a session that rejects malformed and incomplete responses.

    Sessions of the HTTP client itself pass some of them on as complete.

    :param connector: connection pool, by default :func:`build_connector`.
    :param options: passed on to the session.
    """
    return aiohttp.ClientSession(
        connector=connector or build_connector(), **options
    )


def build_connector() -> StrictConnector:
    """Build the connection pool.

    If a server closes an idle connection while a request is being written,
    the outcome is unknown and a call that must not be retried fails. The
    pool therefore closes idle connections first: common servers keep idle
    connections for at least five seconds.
    """
    return StrictConnector(
        limit=0,
        keepalive_timeout=IDLE_CONNECTION_SECONDS,
    )


async def send_once(
    request: aiohttp.ClientRequest,
    handler: Handler,
) -> aiohttp.ClientResponse:
    """Prevent the HTTP client from retrying a request on its own.

    aiohttp regards PUT and DELETE as idempotent and resends them when the
    server closes the connection. The upstream may have processed the request
    before it closed, and the second run would go unnoticed. Raised as another
    type, the error reaches the caller, which knows whether a retry is safe.

    :raises ConnectionLostError: in place of the errors that aiohttp retries.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error)) from error
