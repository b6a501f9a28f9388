"""Plain server that may answer without a length."""

from __future__ import annotations

import asyncio
import hashlib
import random
import socket
import struct
import time
from typing import Any

HEARTBEAT_SECONDS = 1.0
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def write_body(request_id: str) -> bytes:
    """Build the whole body of the answer to a request."""
    digest = hashlib.sha256(request_id.encode()).hexdigest().encode()
    size = 200 + int(digest[:4], 16) % 4600
    return (digest * (size // len(digest) + 1))[:size]


class PlainServer:
    """Answers each request with a body that follows from its id.

    ``unframed`` is the share of its answers that have no length and end with
    their channel.

    :param broken: whether these are reset in the middle.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: Any,
        *,
        slots: int,
        broken: bool,
    ) -> None:
        """Keep the options."""
        self.name = name
        self.running = 0
        self.whole = 0
        self.cut: list[str] = []
        self._service = service
        self._zone = zone
        self._store = store
        self._slots = slots
        self.unframed = 0.0
        self._broken = broken
        self._born = int(time.time() * 1000)

    async def start(self) -> None:
        """Serve, and register as long as it runs."""
        self._server = await asyncio.start_server(
            self._serve_channel, '127.0.0.1', 0
        )
        host, port = self._server.sockets[0].getsockname()
        self._address = f'{host}:{port}'
        await self._register()
        self._beat = asyncio.ensure_future(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop serving."""
        self._beat.cancel()
        self._server.close()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            await self._register()

    async def _register(self) -> None:
        entry = {
            'service': self._service,
            'address': self._address,
            'zone': self._zone,
            'version': 'v1',
            'slots': self._slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'seq': 0,
            'born': self._born,
        }
        await self._store.write('servers', self.name, entry)

    async def _serve_channel(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._serve(reader, writer):
                continue
        except (EOFError, OSError):
            return
        finally:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request.

        :returns: whether the channel stays open.
        """
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        headers = {
            name.lower(): text.strip()
            for name, text in (
                line.split(':', 1) for line in head.split('\r\n')[1:] if line
            )
        }
        await reader.readexactly(int(headers.get('content-length', '0')))
        request_id = headers.get('x-request-id', '')
        if headers.get('x-expect-instance', self.name) != self.name:
            writer.write(_build_head(421, request_id, '', 0))
            return True
        if self.running >= self._slots:
            refusal = 'X-Not-Executed: 1\r\n'
            writer.write(_build_head(503, request_id, refusal, 0))
            return True
        self.running += 1
        try:
            await asyncio.sleep(random.uniform(0.01, 0.04))
        finally:
            self.running -= 1
        return await self._answer(request_id, writer)

    async def _answer(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        body = write_body(request_id)
        stamp = (
            f'X-Server-Stamp: {self.name}.{request_id}\r\n'
            f'X-Server-Load: {self.running},0,{self._slots}\r\n'
        )
        if random.random() >= self.unframed:
            writer.write(_build_head(200, request_id, stamp, len(body)) + body)
            await writer.drain()
            return True
        head = _build_head(
            200, request_id, f'{stamp}Connection: close\r\n', None
        )
        if self._broken:
            self.cut.append(request_id)
            writer.write(head + body[: len(body) // 2])
            channel = writer.get_extra_info('socket')
            channel.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            writer.transport.abort()
            return False
        self.whole += 1
        writer.write(head + body)
        await writer.drain()
        return False


def _build_head(
    status: int, request_id: str, extra: str, length: int | None
) -> bytes:
    lines = f'HTTP/1.1 {status} Answer\r\nX-Request-Id: {request_id}\r\n{extra}'
    if length is not None:
        lines += f'Content-Length: {length}\r\n'
    return f'{lines}\r\n'.encode()
