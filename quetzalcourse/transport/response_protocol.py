"""Receiving side of HTTP client connections, stricter than the HTTP client."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    import asyncio


class ResponseProtocol(ResponseHandler):
    """Rejects responses that end early."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a request."""
        super().__init__(loop)
        self._ended_by_peer = False

    def eof_received(self) -> None:
        """Record that the peer ended the connection in an orderly way."""
        self._ended_by_peer = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body whose connection was reset.

        Only the orderly end of the connection completes a body that has
        neither a length nor chunks.
        """
        if not self._ended_by_peer:
            self._fail_body(
                exc or aiohttp.ClientConnectionError('connection lost')
            )
        super().connection_lost(exc)

    def _fail_body(self, error: BaseException) -> None:
        body = self._payload
        if body is None or body.is_eof():
            return
        failure = aiohttp.ClientPayloadError(f'response broke off: {error!r}')
        body.set_exception(failure, error)


class StrictConnector(aiohttp.TCPConnector):
    """Connection pool that rejects broken and unexpected responses.

    A peer may send a second response long after the first. If the connection
    were reused, the next request would receive that response, and every later
    request the response of its predecessor.
    """

    def __init__(self, **options: Any) -> None:
        """Open the pool on the running event loop."""
        super().__init__(**options)
        self._factory = partial(  # type: ignore[assignment]
            ResponseProtocol, loop=self._loop
        )

    async def _get(self, key: Any, traces: Any) -> Any:
        """Take an idle connection on which no data has arrived."""
        while True:
            connection = await super()._get(key, traces)
            if connection is None:
                return None
            protocol = connection.protocol
            if protocol is not None and not protocol.should_close:
                return connection
            connection.close()
