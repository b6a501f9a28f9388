"""Life of a sanic server on the running loop."""

from __future__ import annotations

import itertools
import re
from typing import TYPE_CHECKING, Any

from sanic import Request, Sanic
from sanic.server.protocols.http_protocol import HttpProtocol

if TYPE_CHECKING:
    import socket

    from sanic.server.async_server import AsyncioServer

KEEP_ALIVE_SECONDS = 75
REQUEST_TIMEOUT_SECONDS = 20
REQUEST_SIGNAL_PREFIX = 'http.'
_APP_NUMBERS = itertools.count(1)


class SignalFreeSanic(Sanic):
    """Sanic without the signals of each request.

    Nobody listens to them here, and looking up their listeners takes a
    fifth of a request's time. Sanic takes the unused ones out by rewriting
    its own code, which is switched off below.
    """

    def dispatch(self, event: str, **options: Any) -> Any:
        """Skip the signals of requests, and send those of the server."""
        if event.startswith(REQUEST_SIGNAL_PREFIX):
            return _ignore_signal()
        return super().dispatch(event, **options)


async def _ignore_signal() -> None:
    """Stand for a signal that nobody listens to."""


def build_app(
    name: str,
    body_bytes: int,
    kind: type[SignalFreeSanic] = SignalFreeSanic,
) -> Sanic:
    """Build an application that never starts a process.

    Sanic's start banner reads the platform's name by a child process, which
    the machine rules forbid, so it is switched off.

    :param name: what it serves, for sanic's own logs.
    :param body_bytes: largest body that is accepted.
    :param kind: class of the application.
    """
    valid_name = re.sub('[^0-9A-Za-z_-]', '-', name)
    unique_name = f'{valid_name}-{next(_APP_NUMBERS)}'
    app = kind(unique_name, configure_logging=False)
    app.config.MOTD = False
    # Sanic rewrites its own methods at the first start, and a second
    # application in the process then fails to start.
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False
    app.config.REQUEST_MAX_SIZE = body_bytes
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_SECONDS
    app.config.REQUEST_TIMEOUT = REQUEST_TIMEOUT_SECONDS
    app.config.RESPONSE_TIMEOUT = 86400
    return app


def abort_connection(request: Request) -> None:
    """Cut a caller's connection without an answer."""
    transport = request.transport
    if transport is not None:
        transport.abort()  # type: ignore[attr-defined]


class WebServer:
    """A sanic application that listens on a socket.

    :param app: the application.
    :param listener: socket that already listens.
    :param protocol: how a connection behaves.
    """

    def __init__(
        self,
        app: Sanic,
        listener: socket.socket,
        protocol: type[HttpProtocol] = HttpProtocol,
    ) -> None:
        """Keep the application and its socket."""
        self._app = app
        self._listener = listener
        self._protocol = protocol
        self._server: AsyncioServer | None = None

    async def start(self) -> None:
        """Begin to serve."""
        server = await self._app.create_server(
            sock=self._listener,
            protocol=self._protocol,
            return_asyncio_server=True,
        )
        if server is None:
            raise RuntimeError('sanic gave no server')
        await server.startup()
        await server.start_serving()
        self._server = server

    def close_idle(self) -> int:
        """Close the connections that carry no request.

        :returns: how many others there are.
        """
        if self._server is None:
            return 0
        idle = [
            connection.close_if_idle()
            for connection in tuple(self._server.connections)
        ]
        return idle.count(False)

    def abort(self) -> None:
        """Cut every connection, as the end of the process would."""
        if self._server is not None:
            for connection in tuple(self._server.connections):
                connection.abort()

    async def close_port(self) -> None:
        """Accept nothing more."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def stop(self) -> None:
        """Accept nothing more and close the idle connections."""
        if self._server is None:
            return
        await self.close_port()
        self.close_idle()
        Sanic.unregister_app(self._app)
