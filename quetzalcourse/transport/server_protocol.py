"""Server protocol that knows how long its connection has been open."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sanic.server.protocols.http_protocol import HttpProtocol

if TYPE_CHECKING:
    import asyncio

# Time from accepting a connection until its first request has arrived.
FIRST_REQUEST_SECONDS = 0.3


class ServerProtocol(HttpProtocol):
    """HTTP connection of a caller."""

    __slots__ = ('_connected_at',)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record when the connection was accepted."""
        self._connected_at = self.loop.time()
        super().connection_made(transport)

    @property
    def awaits_first_request(self) -> bool:
        """Whether the first request may still be on its way."""
        age: float = self.loop.time() - self._connected_at
        return age < FIRST_REQUEST_SECONDS
