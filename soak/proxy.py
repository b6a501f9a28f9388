"""TCP proxy on loopback that harms the connections through it."""

from __future__ import annotations

import asyncio
import enum
from contextlib import suppress

CHUNK = 65536
POLL_SECONDS = 0.02


class Harm(enum.StrEnum):
    """What the proxy does to connections."""

    none = 'none'
    delay = 'delay'
    reset = 'reset'
    silence = 'silence'
    cut_requests = 'cut_requests'
    cut_answers = 'cut_answers'


class FaultProxy:
    """Forwards connections to one address, or harms them.

    ``silence`` holds all bytes back in both directions, the two cuts only
    those of one direction; what is held back comes late or never.

    :param target: IP number and port behind it.
    """

    def __init__(self, target: str) -> None:
        """Begin without harm."""
        self.target = target
        self.address = ''
        self.harm = Harm.none
        self.delay = 0.2
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, or on the port that it had."""
        port = int(self.address.rpartition(':')[2] or 0)
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset every connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        if self.harm is Harm.reset:
            writer.transport.abort()
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        # Cancelled at the end of the soak, which is no fault of its own.
        with suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pump(reader, far_writer, Harm.cut_requests),
                self._pump(far_reader, writer, Harm.cut_answers),
            )
        self._writers -= {writer, far_writer}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: Harm,
    ) -> None:
        with suppress(OSError, RuntimeError):
            while piece := await reader.read(CHUNK):
                if self.harm is Harm.delay:
                    await asyncio.sleep(self.delay)
                while self.harm in {Harm.silence, cut}:
                    await asyncio.sleep(POLL_SECONDS)
                if self.harm is Harm.reset:
                    break
                writer.write(piece)
                await writer.drain()
            if self.harm is Harm.reset:
                writer.transport.abort()
                return
            writer.close()
            return
        writer.transport.abort()
