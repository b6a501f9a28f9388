"""Loopback TCP proxy that injects faults into its connections."""

from __future__ import annotations

import asyncio
import enum
from contextlib import suppress

CHUNK_BYTES = 65536
POLL_SECONDS = 0.02


class LinkFault(enum.StrEnum):
    """Fault that the proxy injects into its connections."""

    none = 'none'
    delay = 'delay'
    reset = 'reset'
    silence = 'silence'
    cut_requests = 'cut_requests'
    cut_answers = 'cut_answers'


class FaultProxy:
    """Forwards connections to one address and injects faults into them.

    ``silence`` holds back all bytes in both directions, ``cut_requests`` and
    ``cut_answers`` those of one direction. Bytes held back arrive late or
    never.

    :param target: IP address and port to forward to.
    """

    def __init__(self, target: str) -> None:
        """Initialize without a fault."""
        self.target = target
        self.address = ''
        self.fault = LinkFault.none
        self.delay_seconds = 0.2
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, or on the previous port after a restart."""
        port = int(self.address.rpartition(':')[2] or 0)
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the listener and abort all connections."""
        if self._server is not None:
            self._server.close()
        self.abort_connections()

    def abort_connections(self) -> None:
        """Abort all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        if self.fault is LinkFault.reset:
            writer.transport.abort()
        host, _, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        # The end of the soak cancels open connections, which is not an error.
        with suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, target_writer, LinkFault.cut_requests),
                self._forward(target_reader, writer, LinkFault.cut_answers),
            )
        self._writers -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut_fault: LinkFault,
    ) -> None:
        with suppress(OSError, RuntimeError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.delay:
                    await asyncio.sleep(self.delay_seconds)
                while self.fault in {LinkFault.silence, cut_fault}:
                    await asyncio.sleep(POLL_SECONDS)
                if self.fault is LinkFault.reset:
                    break
                writer.write(chunk)
                await writer.drain()
            if self.fault is LinkFault.reset:
                writer.transport.abort()
                return
            writer.close()
            return
        writer.transport.abort()
