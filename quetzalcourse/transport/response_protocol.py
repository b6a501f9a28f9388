"""Receiving side of HTTP client connections, stricter than the HTTP client."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from quetzalcourse.log import get_log
from quetzalcourse.transport.connection_end import find_end_error
from quetzalcourse.transport.response_head import (
    HeadChecker,
    MalformedResponseError,
)

if TYPE_CHECKING:
    import asyncio

# Chunk sizes, chunk extensions and trailers are no content; a body consists
# mostly of content, apart from this many bytes.
FRAMING_ALLOWANCE_BYTES = 1_048_576
MAX_FRAMING_PER_CONTENT_BYTE = 16
log = get_log('responses')


class ResponseProtocol(ResponseHandler):
    """Rejects malformed responses and responses that end early.

    The HTTP client gets no byte of a response before its head is checked.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a request."""
        super().__init__(loop)
        self._head: HeadChecker | None = None
        self._received_bytes = 0
        self._ended_by_peer = False
        self._end_error: OSError | None = None
        self._peer = ''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the address of the peer, which a reset socket has lost."""
        peername = transport.get_extra_info('peername')
        # A connection may be reset before its transport is set up.
        if peername is not None:
            host, port = peername[:2]
            self._peer = f'{host}:{port}'
        super().connection_made(transport)

    def set_response_params(self, **options: Any) -> None:
        """Expect the response to the next request."""
        self._head = HeadChecker()
        self._received_bytes = 0
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Check received bytes and pass them on."""
        try:
            checked = self._check_head(data)
        except MalformedResponseError as error:
            self._reject(error)
            return
        if checked is None:
            return
        self._received_bytes += len(checked)
        super().data_received(checked)
        if self._exception is not None:
            self._fail_body(self._exception)
        elif self._is_mostly_framing():
            self._reject(MalformedResponseError('body is mostly framing'))

    def eof_received(self) -> None:
        """Record whether the peer ended the connection in an orderly way."""
        self._end_error = find_end_error(self.transport)
        self._ended_by_peer = self._end_error is None
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body whose connection was reset.

        Only the orderly end of the connection completes a body that has
        neither a length nor chunks.
        """
        error = exc or self._end_error
        self._log_end(error)
        if not self._ended_by_peer:
            self._fail_body(
                error or aiohttp.ClientConnectionError('connection lost')
            )
        super().connection_lost(error)

    def _check_head(self, data: bytes) -> bytes | None:
        """Return the bytes to pass on, ``None`` before the head is whole."""
        if self._head is None:
            return data
        checked = self._head.feed(data)
        if checked is not None:
            self._head = None
        return checked

    def _is_mostly_framing(self) -> bool:
        body = self._payload
        if body is None or body.is_eof():
            return False
        allowed = FRAMING_ALLOWANCE_BYTES + (
            body.total_bytes * (1 + MAX_FRAMING_PER_CONTENT_BYTE)
        )
        return self._received_bytes > allowed

    def _reject(self, error: MalformedResponseError) -> None:
        self.set_exception(error)
        self._fail_body(error)
        if self.transport is not None:
            log.warning(
                'Malformed response rejected.',
                peer=self._peer,
                reason=str(error),
            )
            self.transport.abort()

    def _log_end(self, error: BaseException | None) -> None:
        body = self._payload
        if body is None or body.is_eof():
            return
        log.info(
            'Response ended with its connection.',
            peer=self._peer,
            received_bytes=self._received_bytes,
            error=str(error or ''),
        )

    def _fail_body(self, error: BaseException) -> None:
        body = self._payload
        if body is None or body.is_eof():
            return
        failure = aiohttp.ClientPayloadError(f'response broke off: {error!r}')
        body.set_exception(failure, error)


class StrictConnector(aiohttp.TCPConnector):
    """Connection pool that rejects malformed and unexpected responses.

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
