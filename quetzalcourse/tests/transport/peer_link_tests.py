"""Messages between daemons over real sockets, with foreign ones among them."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import TYPE_CHECKING

import pynng
import pytest

from quetzalcourse.protocol.peers import EnvelopeCodec
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member, Topic
from quetzalcourse.transport.clock import SystemClock
from quetzalcourse.transport.peer_link import PeerLink

if TYPE_CHECKING:
    from collections.abc import Callable

OLD = b'a secret of last month'
NEW = b'a secret of this month'
TRIES = 500


def open_link(*secrets: bytes) -> tuple[PeerLink, Member, list[bytes]]:
    """Open a link that keeps the usage messages it receives."""
    link = PeerLink('127.0.0.1:0', secrets, SystemClock(), Counters())
    own = Member('vm', link.address, 'lac-hall', link.address)
    got: list[bytes] = []
    link.subscribe(Topic.usage, lambda sender, content: got.append(content))
    link.start(own)
    return link, own, got


async def wait_until(holds: Callable[[], bool]) -> bool:
    """Wait for something that another thread brings about."""
    for _ in range(TRIES):
        if holds():
            return True
        await asyncio.sleep(0.01)
    return False


def count_dropped(link: PeerLink, reason: str) -> float:
    """Tell how many messages a link dropped for a reason."""
    return link._counters.read('peer_messages_dropped', reason=reason)


@pytest.mark.parametrize(
    ('sends', 'accepts'),
    [((OLD,), (OLD,)), ((OLD,), (NEW, OLD)), ((NEW, OLD), (OLD, NEW))],
)
async def test_secret_rotates_without_a_stop(
    sends: tuple[bytes, ...],
    accepts: tuple[bytes, ...],
) -> None:
    # Operators change the secret VM by VM; meanwhile daemons sign with
    # different ones and must go on hearing one another.
    sender, _, _ = open_link(*sends)
    receiver, target, got = open_link(*accepts)
    sender.send(target, Topic.usage, b'figures')
    assert await wait_until(lambda: got == [b'figures'])
    sender.stop()
    receiver.stop()


async def test_foreign_and_replayed_messages_are_dropped() -> None:
    # Another program finds the port, or somebody sends a recorded message
    # again. Both are counted and dropped, and true messages still arrive.
    receiver, target, got = open_link(NEW)
    sender = Member('vm-2', 'vm-2-a', 'lac-hall', '127.0.0.1:1')
    codec = EnvelopeCodec([NEW])
    wire = codec.encode(sender, target.address, Topic.usage, b'figures')
    elsewhere = codec.encode(sender, '127.0.0.1:2', Topic.usage, b'figures')
    later = codec.encode(sender, target.address, Topic.usage, b'later')
    forged = EnvelopeCodec([OLD]).encode(
        sender, target.address, Topic.usage, b'forged'
    )
    with pynng.Push0(send_buffer_size=16) as socket_to:
        socket_to.dial(f'tcp://{target.address}')
        for message in (b'', os.urandom(64), forged, elsewhere, wire, wire):
            socket_to.send(message)
        socket_to.send(later)
        assert await wait_until(lambda: b'later' in got)
    assert got == [b'figures', b'later']
    assert count_dropped(receiver, 'foreign') == 3
    assert count_dropped(receiver, 'misdirected') == 1
    assert count_dropped(receiver, 'replayed') == 1
    receiver.stop()


async def test_garbage_on_the_socket_leaves_the_link_working() -> None:
    # A port scan writes bytes that are not even the transport's.
    receiver, target, got = open_link(NEW)
    host, _, port = target.address.partition(':')
    with socket.create_connection((host, int(port))) as scan:
        scan.sendall(os.urandom(4096))
    sender, _, _ = open_link(NEW)
    sender.send(target, Topic.usage, b'figures')
    assert await wait_until(lambda: got == [b'figures'])
    sender.stop()
    receiver.stop()


async def test_sending_to_nobody_never_waits() -> None:
    # A peer died and nothing listens at its address. Its messages are lost
    # and counted; the loop must go on at once.
    sender, _, _ = open_link(NEW)
    nobody = Member('vm', 'gone', 'lac-hall', '127.0.0.1:9')
    for _ in range(100):
        sender.send(nobody, Topic.usage, b'figures')
    lost = sender._counters.read('peer_messages_lost', topic='usage')
    assert lost >= 60
    sender.stop()
