"""Sanic servers on the running event loop."""

from __future__ import annotations

import itertools
import re
from typing import TYPE_CHECKING, Any

from sanic import Request, Sanic

from quetzalcourse.transport.server_protocol import ServerProtocol

if TYPE_CHECKING:
    import socket

    from sanic.server.async_server import AsyncioServer

KEEP_ALIVE_SECONDS = 75
REQUEST_TIMEOUT_SECONDS = 20
REQUEST_SIGNAL_PREFIX = 'http.'
_APP_NUMBERS = itertools.count(1)


class SignalFreeSanic(Sanic):
    """Sanic application that skips the signals of each request.

    They have no listeners here, and looking these up takes a fifth of a
    request's time. Sanic's own optimisation removes unused signals by
    rewriting its code, which ``build_app`` disables.
    """

    def dispatch(self, event: str, **options: Any) -> Any:
        """Skip request signals and dispatch those of the server."""
        if event.startswith(REQUEST_SIGNAL_PREFIX):
            return _ignore_signal()
        return super().dispatch(event, **options)


async def _ignore_signal() -> None:
    """Stand in for a signal without listeners."""


def build_app(
    name: str,
    body_bytes: int,
    kind: type[SignalFreeSanic] = SignalFreeSanic,
) -> Sanic:
    """Build an application that never starts a process.

    Sanic's start banner reads the platform's name through a child process,
    which the rules of the machine forbid, so the banner is disabled.

    :param name: name of the application in sanic's logs.
    :param body_bytes: maximum size of a request body.
    :param kind: class of the application.
    """
    valid_name = re.sub('[^0-9A-Za-z_-]', '-', name)
    unique_name = f'{valid_name}-{next(_APP_NUMBERS)}'
    app = kind(unique_name, configure_logging=False)
    app.config.MOTD = False
    # Sanic would rewrite its own methods at the first start, after which a
    # second application in the same process fails to start.
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False
    app.config.REQUEST_MAX_SIZE = body_bytes
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_SECONDS
    app.config.REQUEST_TIMEOUT = REQUEST_TIMEOUT_SECONDS
    app.config.RESPONSE_TIMEOUT = 86400
    return app


def abort_connection(request: Request) -> None:
    """Abort a caller's connection without a response."""
    transport = request.transport
    if transport is not None:
        transport.abort()  # type: ignore[attr-defined]


class WebServer:
    """Server of a sanic application.

    :param app: the application.
    :param listener: socket that already listens.
    :param protocol: asyncio protocol of the connections.
    """

    def __init__(
        self,
        app: Sanic,
        listener: socket.socket,
        protocol: type[ServerProtocol] = ServerProtocol,
    ) -> None:
        """Store the application and its socket."""
        self._app = app
        self._listener = listener
        self._protocol = protocol
        self._server: AsyncioServer | None = None

    async def start(self) -> None:
        """Start to serve.

        :raises RuntimeError: if sanic creates no server.
        """
        server = await self._app.create_server(
            sock=self._listener,
            protocol=self._protocol,
            return_asyncio_server=True,
        )
        if server is None:
            raise RuntimeError('sanic create_server returned no server')
        await server.startup()
        await server.start_serving()
        self._server = server

    def close_idle(self) -> int:
        """Close the connections without a running request.

        Connections that were accepted just now are kept, since their first
        request may be on its way.

        :returns: number of connections that are still in use.
        """
        if self._server is None:
            return 0
        closed = [
            not connection.awaits_first_request and connection.close_if_idle()
            for connection in tuple(self._server.connections)
        ]
        return closed.count(False)

    def abort(self) -> None:
        """Abort every connection, as the exit of the process would."""
        if self._server is not None:
            for connection in tuple(self._server.connections):
                connection.abort()

    async def close_port(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def stop(self) -> None:
        """Stop accepting connections and close the idle ones."""
        if self._server is None:
            return
        await self.close_port()
        for connection in tuple(self._server.connections):
            connection.close_if_idle()
        Sanic.unregister_app(self._app)
