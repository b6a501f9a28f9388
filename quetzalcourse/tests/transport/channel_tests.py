"""Connections to the platform when an answer does not come."""

from __future__ import annotations

import asyncio

from result import Err

from quetzalcourse.transport.channel import Channel

SERVER_PATIENCE = 5
CALL_SECONDS = 0.2


class SilentServer:
    """Reads what comes and answers nothing."""

    def __init__(self) -> None:
        """Begin without a connection."""
        self.ended: asyncio.Future[str] = asyncio.Future()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        _: asyncio.StreamWriter,
    ) -> None:
        """Read until the connection ends, and keep how it did."""
        try:
            while await reader.read(1000):
                continue
        except ConnectionResetError:
            self.ended.set_result('reset')
        else:
            self.ended.set_result('closed')


async def test_call_that_is_given_up_resets_its_connection() -> None:
    # The link to a server is cut while an order is on its way, and the order
    # is given up. Closed in the usual way, the connection would still carry
    # it to the server once the link is back, after orders of a newer holder.
    silent = SilentServer()
    server = await asyncio.start_server(silent.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    channel = Channel(f'{host}:{port}')
    answer = await channel.request('POST', '/', b'order', seconds=CALL_SECONDS)
    assert isinstance(answer, Err)
    async with asyncio.timeout(SERVER_PATIENCE):
        assert await silent.ended == 'reset'
    await channel.close()
    server.close()
