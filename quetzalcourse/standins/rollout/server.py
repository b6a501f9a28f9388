"""HTTP server of a stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.standins.rollout.ports import reserve_free_port
from quetzalcourse.transport.gateway import build_gateway
from quetzalcourse.transport.sockets import open_listener, read_address
from quetzalcourse.transport.web import WebServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sanic import Request

    from quetzalcourse.state.calls import RequestHead

    Handler = Callable[[Request, RequestHead], Awaitable[None]]


class StandinServer:
    """Serves a stand-in on a loopback port.

    :param name: name in the logs of the HTTP library.
    :param handler: handles every request.
    """

    def __init__(self, name: str, handler: Handler) -> None:
        """Open the listening socket, so that the address is known."""
        self._name = name
        self._handler = handler
        # No other process gets the port between a crash and the restart.
        self._reservation = reserve_free_port()
        self.address = read_address(self._reservation)
        self._listener = open_listener(self.address)
        self._server = self._build_server()

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def abort(self) -> None:
        """Refuse connections and abort the open ones, as a crash does."""
        await self._server.close_port()
        self._listener.close()
        self._server.abort()

    async def restart(self) -> None:
        """Serve again at the same address after :meth:`abort`."""
        self._listener = open_listener(self.address)
        self._server = self._build_server()
        await self.start()

    async def stop(self) -> None:
        """Stop serving and close the port and its connections."""
        self._server.abort()
        await self._server.stop()
        self._listener.close()
        self._reservation.close()

    def _build_server(self) -> WebServer:
        return WebServer(
            build_gateway(self._name, self._handler), self._listener
        )
