"""Tests of the HTTP server of the stand-ins."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest

from quetzalcourse.standins.rollout.server import StandinServer
from quetzalcourse.transport.gateway import send_response
from quetzalcourse.transport.sockets import split_address

if TYPE_CHECKING:
    from sanic import Request

    from quetzalcourse.state.calls import RequestHead


async def answer(request: Request, _: RequestHead) -> None:
    """Answer every request."""
    await send_response(request, b'served')


async def fetch(address: str) -> bytes:
    """Read the body of an answer."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    writer.write(b'GET / HTTP/1.1\r\nHost: server\r\nConnection: close\r\n\r\n')
    answered = await reader.read()
    writer.close()
    return answered.rpartition(b'\r\n\r\n')[2]


async def test_crashed_server_keeps_its_port() -> None:
    """Guards against a restart that fails as another process has the port."""
    server = StandinServer('server', answer)
    await server.start()
    await server.abort()
    with socket.socket() as other, pytest.raises(OSError, match='in use'):
        other.bind(split_address(server.address))
    await server.stop()


async def test_crashed_server_refuses_connections_until_its_restart() -> None:
    """Guards against a crash that daemons can't tell from a slow server."""
    server = StandinServer('server', answer)
    await server.start()
    await server.abort()
    with pytest.raises(ConnectionRefusedError):
        await fetch(server.address)
    await server.restart()
    assert await fetch(server.address) == b'served'
    await server.stop()
