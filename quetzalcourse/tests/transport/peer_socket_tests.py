"""Sending to peers whose connections close at any moment."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import sys

import pytest

# Greeting of an nng pull socket: magic bytes and protocol number.
PULL_GREETING = b'\0SP\0' + struct.pack('>HH', 0x51, 0)
PEER_COUNT = 60
SEND_SECONDS = 8
CLOSE_PROBABILITY = 0.3
RESET = struct.pack('ii', 1, 0)


class ClosingPeer:
    """Peer that accepts connections and closes them after a few reads.

    :param reset: whether it resets the connection, as a killed process may.
    """

    def __init__(self, *, reset: bool) -> None:
        """Initialize without connections."""
        self.closed_count = 0
        self._reset = reset

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Greet a sender, read some of its messages and close."""
        writer.write(PULL_GREETING)
        while await reader.read(4096):
            if random.random() < CLOSE_PROBABILITY:
                break
        self.closed_count += 1
        if self._reset:
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET
            )
        writer.close()


@pytest.mark.parametrize('reset', [False, True])
async def test_sender_survives_connections_that_close(reset: bool) -> None:
    """Guards against a native crash of nng when a peer is killed."""
    peer = ClosingPeer(reset=reset)
    servers = [
        await asyncio.start_server(peer.serve, '127.0.0.1', 0)
        for _ in range(PEER_COUNT)
    ]
    ports = [str(server.sockets[0].getsockname()[1]) for server in servers]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'quetzalcourse.tests.peer_sender',
        str(SEND_SECONDS),
        *ports,
        stderr=asyncio.subprocess.PIPE,
    )
    _, errors = await process.communicate()
    for server in servers:
        server.close()
    assert process.returncode == 0, errors.decode()
    assert peer.closed_count > PEER_COUNT
