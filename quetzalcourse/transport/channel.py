"""HTTP client of one server that replaces its connections on failure."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp
from result import Err, Ok, Result
from yarl import URL

from quetzalcourse.state.rows import FaultKind, StoreFault
from quetzalcourse.transport.connections import open_session, send_once
from quetzalcourse.transport.response_body import read_body
from quetzalcourse.transport.response_protocol import StrictConnector

if TYPE_CHECKING:
    from collections.abc import Mapping

# A connection to a vanished peer neither delivers data nor reports an error;
# the kernel closes it after this long without an acknowledgement.
TCP_USER_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
CONNECT_TIMEOUT_SECONDS = 0.5
# Closing discards undelivered data and resets the connection. Otherwise the
# kernel keeps retransmitting it, and an order abandoned during a network
# partition reaches its server seconds later, after orders of the next lease
# holder.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
IDLE_CONNECTION_SECONDS = 10.0
RETIRED_SESSION_SECONDS = 10.0
SKIPPED_AUTO_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


def open_socket(address: Any) -> socket.socket:
    """Create a TCP socket that detects an unresponsive peer."""
    opened = socket.socket(*address[:3])
    opened.setblocking(False)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS
    )
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return opened


@dataclass(frozen=True, slots=True)
class ChannelResponse:
    """Status and complete body of a server's response."""

    status: int
    content: bytes


class Channel:
    """HTTP client of one server.

    :param address: IP address and port.
    """

    def __init__(self, address: str) -> None:
        """Open a session; connections follow on demand."""
        self.address = address
        self._session = self._open_session()
        self._retired: set[asyncio.Task[None]] = set()

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        *,
        headers: Mapping[str, str] | None = None,
        seconds: float,
    ) -> Result[ChannelResponse, StoreFault]:
        """Send one request and read the complete response.

        :param target: path and query, URL-encoded.
        :param seconds: timeout of the whole exchange.
        :returns: the response, or what is known about a failed request.
        """
        session = self._session
        url = URL(f'http://{self.address}{target}', encoded=True)
        step = f'{method} {target.partition("?")[0]}'
        timeout = aiohttp.ClientTimeout(
            total=seconds, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with session.request(
                method, url, data=body or None, headers=headers, timeout=timeout
            ) as response:
                return Ok(
                    ChannelResponse(response.status, await read_body(response))
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            self._replace_session(session)
            return Err(StoreFault(FaultKind.not_applied, step, self.address))
        except (aiohttp.ClientError, asyncio.TimeoutError):
            self._replace_session(session)
            return Err(StoreFault(FaultKind.unanswered, step, self.address))

    async def close(self) -> None:
        """Close every connection."""
        retired = tuple(self._retired)
        for task in retired:
            task.cancel()
        # Cancellation closes the retired sessions.
        await asyncio.gather(*retired, return_exceptions=True)
        await self._session.close()

    def _replace_session(self, failed: aiohttp.ClientSession) -> None:
        # After a failure the idle connections are as suspect as the failed
        # one, and trying each of them would cost a timeout.
        if failed is not self._session:
            return
        self._session = self._open_session()
        task = asyncio.ensure_future(self._close_later(failed))
        self._retired.add(task)
        task.add_done_callback(self._retired.discard)

    async def _close_later(self, session: aiohttp.ClientSession) -> None:
        try:
            await asyncio.sleep(RETIRED_SESSION_SECONDS)
        finally:
            await session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        return open_session(
            StrictConnector(
                limit=0,
                keepalive_timeout=IDLE_CONNECTION_SECONDS,
                socket_factory=open_socket,
            ),
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            middlewares=(send_once,),
        )
