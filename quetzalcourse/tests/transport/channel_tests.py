"""Connections of a channel whose server does not respond."""

from __future__ import annotations

import asyncio

from result import Err

from quetzalcourse.transport.channel import Channel

RESET_TIMEOUT_SECONDS = 5
REQUEST_TIMEOUT_SECONDS = 0.2


class SilentServer:
    """Server that reads its input and never responds."""

    def __init__(self) -> None:
        """Start without a connection."""
        self.ended: asyncio.Future[str] = asyncio.Future()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        _: asyncio.StreamWriter,
    ) -> None:
        """Read until the connection ends and record how it ended."""
        try:
            while await reader.read(1000):
                continue
        except ConnectionResetError:
            self.ended.set_result('reset')
        else:
            self.ended.set_result('closed')


async def test_timed_out_request_resets_its_connection() -> None:
    # A network partition starts while an order is in transit, and the order is
    # abandoned. After a normal close the kernel would still deliver it once
    # the network is back, after orders of a newer lease holder.
    silent = SilentServer()
    server = await asyncio.start_server(silent.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    channel = Channel(f'{host}:{port}')
    response = await channel.request(
        'POST', '/', b'order', seconds=REQUEST_TIMEOUT_SECONDS
    )
    assert isinstance(response, Err)
    async with asyncio.timeout(RESET_TIMEOUT_SECONDS):
        assert await silent.ended == 'reset'
    await channel.close()
    server.close()
