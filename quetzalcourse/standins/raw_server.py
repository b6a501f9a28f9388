"""Stand-ins for servers in trouble, which send chosen bytes."""

from __future__ import annotations

import asyncio
import enum
import re
import socket
import struct
from dataclasses import dataclass

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
REQUEST_HEAD_BYTES = 4096
SETTLE_SECONDS = 0.05
MAX_ENDLESS_BYTES = 64_000_000
REQUEST_ID = b'{request id}'
REQUEST_ID_PATTERN = re.compile(rb'x-request-id: ([^\r\n]*)', re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class RawResponse:
    """Bytes that are sent in place of a response.

    :param content: sent as soon as a request arrives; :data:`REQUEST_ID` in it
        stands for the id of the request.
    :param endless: sent after it over and over, until the peer closes.
    :param pace_seconds: pause after each repetition of the endless bytes.
    :param reset: whether the connection is reset at the end, which discards
        what the peer still sends, instead of closed in an orderly way.
    """

    content: bytes
    endless: bytes = b''
    reset: bool = False
    pace_seconds: float = 0


class RawServer:
    """Answers each connection with the same bytes and closes it.

    ``sent_bytes`` counts the endless bytes of all connections.
    """

    def __init__(self, response: RawResponse) -> None:
        """Create the server; :meth:`start` opens its socket."""
        self.address = ''
        self.response = response
        self.sent_bytes = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await self._respond(reader, writer)
        except (OSError, RuntimeError):
            return
        finally:
            writer.close()

    async def _respond(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = await reader.read(REQUEST_HEAD_BYTES)
        if not head:
            return
        writer.write(_fill_in_request_id(self.response.content, head))
        await writer.drain()
        while self.response.endless and self.sent_bytes < MAX_ENDLESS_BYTES:
            writer.write(self.response.endless)
            self.sent_bytes += len(self.response.endless)
            await writer.drain()
            await asyncio.sleep(self.response.pace_seconds)
        await asyncio.sleep(SETTLE_SECONDS)
        if self.response.reset:
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        elif writer.can_write_eof():
            writer.write_eof()
            await reader.read()


class ConnectionEnd(enum.Enum):
    """How a server ends a connection.

    A connection that is closed and then reset was complete before the reset.
    """

    closed = enum.auto()
    reset = enum.auto()
    closed_then_reset = enum.auto()


class AbruptServer:
    """Ends each connection in the same step in which it sends a response.

    A client's event loop learns of the last bytes and of the end at once.

    :param content: sent once a request arrives; :data:`REQUEST_ID` in it
        stands for the id of the request.

    ``answered`` counts the responses.
    """

    def __init__(
        self, content: bytes, end: ConnectionEnd = ConnectionEnd.reset
    ) -> None:
        """Open the listening socket, so that the address is known."""
        self.answered = 0
        self._content = content
        self._end = end
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._listener.setblocking(False)
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self._serving: asyncio.Task[None] | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Serve until :meth:`stop`."""
        self._serving = asyncio.ensure_future(self._serve())

    async def stop(self) -> None:
        """Stop serving and close the open connections."""
        tasks = [self._serving, *self._connections]
        running = [task for task in tasks if task is not None]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self._listener.close()

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            task = asyncio.ensure_future(self._respond(connection))
            self._connections.add(task)
            task.add_done_callback(self._connections.discard)

    async def _respond(self, connection: socket.socket) -> None:
        with connection:
            connection.setblocking(False)
            head = await asyncio.get_running_loop().sock_recv(
                connection, REQUEST_HEAD_BYTES
            )
            if head:
                self._send(connection, _fill_in_request_id(self._content, head))

    def _send(self, connection: socket.socket, content: bytes) -> None:
        self.answered += 1
        connection.send(content)
        if self._end is not ConnectionEnd.reset:
            connection.shutdown(socket.SHUT_WR)
        if self._end is not ConnectionEnd.closed:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )


def _fill_in_request_id(content: bytes, head: bytes) -> bytes:
    found = REQUEST_ID_PATTERN.search(head)
    return content.replace(REQUEST_ID, found[1] if found is not None else b'')
