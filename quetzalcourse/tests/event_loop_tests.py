"""Descriptors of connections whose setup is cancelled."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest
import uvloop

from quetzalcourse.event_loop import EventLoop

MAX_STEPS = 5


async def cancel_setup(steps: int) -> bool:
    """Cancel the setup of a transport, and close its socket later.

    :param steps: iterations of the event loop before the cancellation.
    :returns: whether a file that was opened in between stays open.
    """
    loop = asyncio.get_running_loop()
    server = await asyncio.start_server(
        lambda reader, writer: writer.close(), '127.0.0.1', 0
    )
    with socket.socket() as connected:
        connected.setblocking(False)
        await loop.sock_connect(connected, server.sockets[0].getsockname())
        setup = asyncio.ensure_future(
            loop.create_connection(asyncio.Protocol, sock=connected)
        )
        for _ in range(steps):
            await asyncio.sleep(0)
        setup.cancel()
        await asyncio.gather(setup, return_exceptions=True)
        opened = os.open(os.devnull, os.O_RDONLY)
    server.close()
    try:
        os.close(opened)
    except OSError:
        return False
    return True


@pytest.mark.parametrize('steps', range(MAX_STEPS))
def test_abandoned_connection_closes_no_other_descriptor(steps: int) -> None:
    """Guards against callers cut off because another attempt was cancelled."""
    assert uvloop.run(cancel_setup(steps), loop_factory=EventLoop)


async def count_leaked_descriptors(attempts: int) -> int:
    """Cancel the setup of many transports and count the open descriptors."""
    await cancel_setup(1)
    before = len(os.listdir('/proc/self/fd'))
    for number in range(attempts):
        await cancel_setup(number % MAX_STEPS)
    await asyncio.sleep(0.1)
    return len(os.listdir('/proc/self/fd')) - before


def test_abandoned_connections_leak_no_descriptors() -> None:
    """Guards against a daemon that runs out of descriptors."""
    leaked = uvloop.run(count_leaked_descriptors(50), loop_factory=EventLoop)
    assert leaked < 10


async def test_tests_run_on_the_event_loop_of_the_daemons() -> None:
    """Guards against tests that pass on a loop that never serves."""
    assert isinstance(asyncio.get_running_loop(), EventLoop)
