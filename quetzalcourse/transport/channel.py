"""HTTP to one server, on connections that are given up after a miss."""

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
from quetzalcourse.transport.connections import send_once

if TYPE_CHECKING:
    from collections.abc import Mapping

# A connection whose peer vanished delivers nothing and reports nothing; the
# kernel ends it after this long without an acknowledgement.
UNACKNOWLEDGED_MS = 1500
PROBE_AFTER_SECONDS = 2
PROBE_GAP_SECONDS = 1
PROBES = 2
CONNECT_SECONDS = 0.5
# A connection that is closed drops what was not delivered, and resets. Else
# the kernel goes on sending it: an order that was given up during a cut would
# reach its server seconds later, after orders of the next holder.
DROP_ON_CLOSE = struct.pack('ii', 1, 0)
KEEP_ALIVE_SECONDS = 10.0
RETIRED_SECONDS = 10.0
PLAIN_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


def open_socket(address: Any) -> socket.socket:
    """Make a socket that notices a peer which fell silent."""
    made = socket.socket(*address[:3])
    made.setblocking(False)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DROP_ON_CLOSE)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS
    )
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_GAP_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    return made


@dataclass(frozen=True, slots=True)
class ChannelAnswer:
    """Whole answer of a server."""

    status: int
    content: bytes


class Channel:
    """Sends requests to one server.

    :param address: IP number and port.
    """

    def __init__(self, address: str) -> None:
        """Begin without a connection."""
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
    ) -> Result[ChannelAnswer, StoreFault]:
        """Send one request and read its whole answer.

        :param target: path and query, encoded.
        :param seconds: time after which it counts as unanswered.
        """
        session = self._session
        url = URL(f'http://{self.address}{target}', encoded=True)
        step = f'{method} {target.partition("?")[0]}'
        timeout = aiohttp.ClientTimeout(
            total=seconds, sock_connect=CONNECT_SECONDS
        )
        try:
            async with session.request(
                method, url, data=body or None, headers=headers, timeout=timeout
            ) as answer:
                return Ok(ChannelAnswer(answer.status, await answer.read()))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            self._renew(session)
            return Err(StoreFault(FaultKind.not_applied, step, self.address))
        except (aiohttp.ClientError, asyncio.TimeoutError):
            self._renew(session)
            return Err(StoreFault(FaultKind.unanswered, step, self.address))

    async def close(self) -> None:
        """Close every connection."""
        retired = tuple(self._retired)
        for task in retired:
            task.cancel()
        # Each closes its session as it ends.
        await asyncio.gather(*retired, return_exceptions=True)
        await self._session.close()

    def _renew(self, missed: aiohttp.ClientSession) -> None:
        # After one miss the idle connections are as suspect as the one that
        # missed, and trying each would take a timeout each.
        if missed is not self._session:
            return
        self._session = self._open_session()
        task = asyncio.ensure_future(self._retire(missed))
        self._retired.add(task)
        task.add_done_callback(self._retired.discard)

    async def _retire(self, session: aiohttp.ClientSession) -> None:
        try:
            await asyncio.sleep(RETIRED_SECONDS)
        finally:
            await session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=KEEP_ALIVE_SECONDS,
                socket_factory=open_socket,
            ),
            skip_auto_headers=PLAIN_HEADERS,
            middlewares=(send_once,),
        )
