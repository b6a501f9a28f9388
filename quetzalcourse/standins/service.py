"""Stand-in for a plain service on a real socket, with fault injection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from sanic import Request
from sanic import response as answers

from quetzalcourse.transport.sockets import open_listener, read_address
from quetzalcourse.transport.web import (
    WebServer,
    abort_connection,
    build_app,
)

if TYPE_CHECKING:
    from sanic.response import HTTPResponse

BODY_BYTES = 64_000_000
METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')


@dataclass(slots=True)
class ServiceFaults:
    """Faults to inject into the service stand-in.

    :param drop_before: abort this many connections before running the call.
    :param drop_after: abort this many connections after running the call.
    :param slow_seconds: delay before each answer.
    :param status: status of every answer.
    """

    drop_before: int = 0
    drop_after: int = 0
    slow_seconds: float = 0.0
    status: int = 200


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """Call that the service ran."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class ServiceRecord:
    """Calls that a service ran, for assertions."""

    calls: list[ServiceCall] = field(default_factory=list)


class ServiceStandin:
    """Service that answers with the body, or else the method and path.

    :param name: unique in the process.
    """

    def __init__(self, name: str, address: str = '127.0.0.1:0') -> None:
        """Open the listening socket, so that the address is known."""
        self.faults = ServiceFaults()
        self.record = ServiceRecord()
        listener = open_listener(address)
        self.address = read_address(listener)
        app = build_app(f'service-{name}', BODY_BYTES)
        app.add_route(echo, '/echo/<path:path>', methods=('POST',), stream=True)
        app.add_route(self._answer, '/<path:path>', methods=METHODS)
        self._server = WebServer(app, listener)

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop serving."""
        await self._server.stop()

    async def _answer(self, request: Request, path: str) -> HTTPResponse:
        if self.faults.drop_before:
            self.faults.drop_before -= 1
            abort_connection(request)
            return answers.empty()
        await asyncio.sleep(self.faults.slow_seconds)
        self.record.calls.append(
            ServiceCall(
                request.method,
                path,
                request.query_string,
                dict(request.headers),
                request.body,
            )
        )
        if self.faults.drop_after:
            self.faults.drop_after -= 1
            abort_connection(request)
            return answers.empty()
        return answers.raw(
            request.body or f'{request.method} {path}'.encode(),
            status=self.faults.status,
            content_type='text/plain',
        )


async def echo(request: Request, path: str) -> None:
    """Send each chunk of a body back as soon as it arrives."""
    stream = await request.respond(content_type='text/plain')
    source: Any = request.stream
    while True:
        chunk = await source.read()
        if chunk is None:
            break
        await stream.send(chunk)
    await stream.eof()
