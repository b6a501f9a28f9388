"""HTTP server of a stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

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

    def __init__(
        self,
        name: str,
        handler: Handler,
        address: str = '127.0.0.1:0',
    ) -> None:
        """Open the listening socket, so that the address is known."""
        self._listener = open_listener(address)
        self.address = read_address(self._listener)
        self._server = WebServer(build_gateway(name, handler), self._listener)

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def abort(self) -> None:
        """Close the port and abort all connections, as a crash does."""
        await self._server.close_port()
        self._listener.close()
        self._server.abort()

    async def stop(self) -> None:
        """Stop serving and close the port and its connections."""
        self._server.abort()
        await self._server.stop()
        self._listener.close()
