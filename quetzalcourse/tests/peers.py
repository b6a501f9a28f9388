"""In-memory peer network and member lists, with partitions, for tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.state.members import Member, Topic


class FakeNetwork:
    """Delivers messages between fake peers, except across partitions."""

    def __init__(self) -> None:
        """Create a network without daemons and partitions."""
        self.peers: dict[str, FakePeers] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.sent: list[tuple[str, str, Topic, int]] = []

    def join(self, member: Member) -> FakePeers:
        """Add a daemon."""
        peers = FakePeers(self, member)
        self.peers[member.incarnation] = peers
        return peers

    def leave(self, member: Member) -> None:
        """Remove a daemon, as after a crash."""
        self.peers.pop(member.incarnation, None)

    def cut(self, sender: Member, receiver: Member) -> None:
        """Drop all messages from one daemon to another."""
        self.cuts.add((sender.incarnation, receiver.incarnation))

    def heal(self) -> None:
        """End all partitions."""
        self.cuts.clear()

    def carry(
        self,
        sender: Member,
        receiver: Member,
        topic: Topic,
        content: bytes,
    ) -> None:
        """Deliver a message in a later iteration of the event loop."""
        pair = (sender.incarnation, receiver.incarnation)
        self.sent.append((*pair, topic, len(content)))
        target = self.peers.get(receiver.incarnation)
        if target is None or pair in self.cuts:
            return
        handler = target.handlers.get(topic)
        if handler is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(handler, sender, content)


class FakePeers:
    """Endpoint of one daemon in the fake network."""

    def __init__(self, network: FakeNetwork, own: Member) -> None:
        """Create the endpoint without handlers."""
        self.handlers: dict[Topic, Callable[[Member, bytes], None]] = {}
        self._network = network
        self._own = own

    def send(self, receiver: Member, topic: Topic, content: bytes) -> None:
        """Send a message."""
        self._network.carry(self._own, receiver, topic, content)

    def subscribe(
        self,
        topic: Topic,
        receive: Callable[[Member, bytes], None],
    ) -> None:
        """Register the handler of a topic."""
        self.handlers[topic] = receive


class FakeMembers:
    """List of live daemons that a test sets."""

    def __init__(self, own: Member, live: list[Member]) -> None:
        """Start with a list of live daemons."""
        self.own = own
        self._live = live
        self._listeners: list[Callable[[], None]] = []

    def list_live(self, data_centre: str = '') -> list[Member]:
        """List the live daemons."""
        return sorted(
            (
                member
                for member in self._live
                if data_centre in {'', member.data_centre}
            ),
            key=lambda member: member.incarnation,
        )

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener for changes."""
        self._listeners.append(listener)

    def change(self, live: list[Member]) -> None:
        """Replace the list and notify listeners."""
        self._live = live
        for listener in self._listeners:
            listener()
