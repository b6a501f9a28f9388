"""Messages between daemons over real sockets, valid and invalid."""

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

OLD_SECRET = b'a secret of last month'
NEW_SECRET = b'a secret of this month'
MAX_POLLS = 500


def open_link(*secrets: bytes) -> tuple[PeerLink, Member, list[bytes]]:
    """Open a link that collects the usage messages it receives."""
    link = PeerLink('127.0.0.1:0', secrets, SystemClock(), Counters())
    own = Member('vm', link.address, 'lac-hall', link.address)
    received: list[bytes] = []
    link.subscribe(
        Topic.usage, lambda sender, content: received.append(content)
    )
    link.start(own)
    return link, own, received


async def wait_until(condition: Callable[[], bool]) -> bool:
    """Wait for a condition that another thread makes true."""
    for _ in range(MAX_POLLS):
        if condition():
            return True
        await asyncio.sleep(0.01)
    return False


def count_dropped(link: PeerLink, reason: str) -> float:
    """Return how many messages a link dropped for a reason."""
    return link._counters.read('peer_messages_dropped', reason=reason)


@pytest.mark.parametrize(
    ('sends', 'accepts'),
    [
        ((OLD_SECRET,), (OLD_SECRET,)),
        ((OLD_SECRET,), (NEW_SECRET, OLD_SECRET)),
        ((NEW_SECRET, OLD_SECRET), (OLD_SECRET, NEW_SECRET)),
    ],
)
async def test_messages_are_accepted_during_secret_rotation(
    sends: tuple[bytes, ...],
    accepts: tuple[bytes, ...],
) -> None:
    # Operators rotate the secret VM by VM. Meanwhile daemons sign with
    # different secrets and must still accept each other's messages.
    sender, _, _ = open_link(*sends)
    receiver, target, received = open_link(*accepts)
    sender.send(target, Topic.usage, b'figures')
    assert await wait_until(lambda: received == [b'figures'])
    sender.stop()
    receiver.stop()


async def test_foreign_and_replayed_messages_are_dropped() -> None:
    # Another program connects to the port, or somebody replays a message.
    # Both are counted and dropped, and valid messages still arrive.
    receiver, target, received = open_link(NEW_SECRET)
    sender = Member('vm-2', 'vm-2-a', 'lac-hall', '127.0.0.1:1')
    codec = EnvelopeCodec([NEW_SECRET])
    message_bytes = codec.encode(
        sender, target.address, Topic.usage, b'figures'
    )
    elsewhere = codec.encode(sender, '127.0.0.1:2', Topic.usage, b'figures')
    later = codec.encode(sender, target.address, Topic.usage, b'later')
    forged = EnvelopeCodec([OLD_SECRET]).encode(
        sender, target.address, Topic.usage, b'forged'
    )
    with pynng.Push0(send_buffer_size=16) as socket_to:
        socket_to.dial(f'tcp://{target.address}')
        for message in (
            b'',
            os.urandom(64),
            forged,
            elsewhere,
            message_bytes,
            message_bytes,
        ):
            socket_to.send(message)
        socket_to.send(later)
        assert await wait_until(lambda: b'later' in received)
    assert received == [b'figures', b'later']
    assert count_dropped(receiver, 'foreign') == 3
    assert count_dropped(receiver, 'misdirected') == 1
    assert count_dropped(receiver, 'replayed') == 1
    receiver.stop()


async def test_garbage_on_the_socket_does_not_break_the_link() -> None:
    # A port scan writes bytes that do not follow nng's protocol.
    receiver, target, received = open_link(NEW_SECRET)
    host, _, port = target.address.partition(':')
    with socket.create_connection((host, int(port))) as scan:
        scan.sendall(os.urandom(4096))
    sender, _, _ = open_link(NEW_SECRET)
    sender.send(target, Topic.usage, b'figures')
    assert await wait_until(lambda: received == [b'figures'])
    sender.stop()
    receiver.stop()


async def test_sending_to_an_exited_peer_does_not_block() -> None:
    # A peer has exited and nothing listens at its address. Its messages are
    # lost and counted; sending must not block the event loop.
    sender, _, _ = open_link(NEW_SECRET)
    nobody = Member('vm', 'gone', 'lac-hall', '127.0.0.1:9')
    for _ in range(100):
        sender.send(nobody, Topic.usage, b'figures')
    lost = sender._counters.read('peer_messages_lost', topic='usage')
    assert lost >= 60
    sender.stop()
