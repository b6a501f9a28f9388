"""HTTP client for upstreams with a connection pool."""

from __future__ import annotations

import asyncio
import enum
import re
from collections import Counter
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from quetzalcourse.exceptions import QuetzalcourseError
from quetzalcourse.transport.channel import SKIPPED_AUTO_HEADERS, open_socket
from quetzalcourse.transport.connections import open_session, send_once
from quetzalcourse.transport.response_protocol import StrictConnector

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    Body = bytes | AsyncIterator[bytes] | None

CONNECT_TIMEOUT_SECONDS = 0.3
# Upstreams close idle connections after some seconds. A request sent during
# the close may have run, so the pool closes idle connections first. This short
# default applies until an upstream announces its keep-alive timeout.
DEFAULT_KEEP_ALIVE_SECONDS = 3.0
KEEP_ALIVE_MARGIN_SECONDS = 1.5
KEEP_ALIVE_PATTERN = re.compile(r'timeout=([0-9]{1,6})(?![0-9])')
MAX_HEADER_BYTES = 65536


class CallFailure(enum.StrEnum):
    """How a request without a complete response failed."""

    not_sent = 'not_sent'
    unanswered = 'unanswered'
    late = 'late'


class CallFailedError(QuetzalcourseError):
    """Request that got no complete response.

    :param state: ``not_sent`` only if no byte of it was sent.
    :param peer: address of the upstream.
    """

    def __init__(self, state: CallFailure, peer: str) -> None:
        """Store the failure and the upstream."""
        super().__init__(f'{peer}: {state.value}')
        self.state = state
        self.peer = peer


class UpstreamConnector(StrictConnector):
    """Connection pool that adopts the keep-alive timeout of upstreams."""

    def update_keep_alive(self, text: str) -> None:
        """Adopt the keep-alive timeout that an upstream announces.

        :param text: value of the ``Keep-Alive`` header.
        """
        match = KEEP_ALIVE_PATTERN.search(text)
        if match is not None:
            self._keepalive_timeout = max(
                int(match[1]) - KEEP_ALIVE_MARGIN_SECONDS,
                KEEP_ALIVE_MARGIN_SECONDS,
            )

    @property
    def keep_alive(self) -> timedelta:
        """How long idle connections are kept open."""
        return timedelta(seconds=self._keepalive_timeout or 0)


class UpstreamClient:
    """Sends requests to upstreams without implicit retries."""

    def __init__(self) -> None:
        """Open a session; connections follow on demand."""
        self._connector = UpstreamConnector(
            limit=0,
            keepalive_timeout=DEFAULT_KEEP_ALIVE_SECONDS,
            socket_factory=open_socket,
        )
        self._session = open_session(
            self._connector,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            auto_decompress=False,
            middlewares=(send_once,),
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        self._open: Counter[str] = Counter()

    def count_open(self, address: str) -> int:
        """Count the requests without a complete response at an address."""
        return self._open[address]

    @property
    def keep_alive(self) -> timedelta:
        """How long idle connections are kept open."""
        return self._connector.keep_alive

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    @asynccontextmanager
    async def open(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: Body,
        head_timeout: timedelta,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and yield its response once the head arrives.

        If the block ends before the response does, the connection is closed,
        upon which the upstream stops its work.

        :param head_timeout: how long to wait for status and headers.
        :raises CallFailedError: if status and headers do not arrive.
        """
        self._open[address] += 1
        try:
            response = await self._send(
                address, method, target, headers, body, head_timeout
            )
            try:
                yield response
            except BaseException:
                response.close()
                raise
            else:
                if response.content.at_eof():
                    response.release()
                else:
                    response.close()
        finally:
            self._open[address] -= 1
            if not self._open[address]:
                self._open.pop(address)

    async def _send(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: Body,
        head_timeout: timedelta,
    ) -> aiohttp.ClientResponse:
        url = URL(f'http://{address}{target}', encoded=True)
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with asyncio.timeout(head_timeout.total_seconds()):
                response = await self._session.request(
                    method,
                    url,
                    data=body,
                    headers=headers,
                    timeout=timeout,
                    allow_redirects=False,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            raise CallFailedError(CallFailure.not_sent, address) from None
        except TimeoutError:
            raise CallFailedError(CallFailure.late, address) from None
        except (aiohttp.ClientError, OSError, ValueError):
            raise CallFailedError(CallFailure.unanswered, address) from None
        self._connector.update_keep_alive(
            response.headers.get('Keep-Alive', '')
        )
        return response


async def read_chunks_until(
    response: aiohttp.ClientResponse,
    timeout: timedelta,
) -> AsyncIterator[bytes]:
    """Yield the body of a response as it arrives, for a limited time.

    :param timeout: timeout of the whole body, however fast it arrives.
    :raises CallFailedError: if the body is truncated or not complete by then.
    """
    clock = asyncio.get_running_loop().time
    deadline = clock() + timeout.total_seconds()
    while True:
        time_left = timedelta(seconds=deadline - clock())
        chunk = await _read_chunk(response, time_left)
        if not chunk:
            return
        yield chunk


async def read_chunks(
    response: aiohttp.ClientResponse,
    chunk_timeout: timedelta | None,
) -> AsyncIterator[bytes]:
    """Yield the body of a response as it arrives.

    :param chunk_timeout: timeout between two chunks, ``None`` for no limit.
    :raises CallFailedError: if the body is truncated or times out.
    """
    while True:
        chunk = await _read_chunk(response, chunk_timeout)
        if not chunk:
            return
        yield chunk


async def _read_chunk(
    response: aiohttp.ClientResponse, timeout: timedelta | None
) -> bytes:
    peer = f'{response.url.host}:{response.url.port}'
    seconds = None if timeout is None else timeout.total_seconds()
    if seconds is not None and seconds <= 0:
        raise CallFailedError(CallFailure.late, peer)
    try:
        async with asyncio.timeout(seconds):
            return await response.content.readany()
    except TimeoutError:
        raise CallFailedError(CallFailure.late, peer) from None
    except (aiohttp.ClientError, OSError, ValueError):
        raise CallFailedError(CallFailure.unanswered, peer) from None
