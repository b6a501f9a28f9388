"""Gossip of API key changes between daemons."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.manifest.gossip_peers import choose_gossip_peers
from quetzalcourse.state.decoding import MalformedMessageError, decode_msgpack
from quetzalcourse.state.members import Member, Topic
from quetzalcourse.state.gossip import KeyMessage, GossipKind

if TYPE_CHECKING:
    from random import Random

    from quetzalcourse.coordination.manifest.keys import KeyRing
    from quetzalcourse.coordination.membership.membership import Digest
    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.keys import KeyRecord

REQUEST_INTERVAL = timedelta(seconds=1)
RECORDS_PER_MESSAGE = 200


class KeyGossip:
    """Disseminates key changes and reconciles them with other daemons.

    :param key_ring: the key changes known here.
    """

    def __init__(
        self,
        key_ring: KeyRing,
        members: MemberView,
        peers: Peers,
        clock: Clock,
        random: Random,
        counters: Counters,
    ) -> None:
        """Subscribe to key messages and to new records."""
        self._key_ring = key_ring
        self._members = members
        self._peers = peers
        self._clock = clock
        self._random = random
        self._counters = counters
        self._requested_at = clock.elapsed() - REQUEST_INTERVAL
        peers.subscribe(Topic.keys, self._receive)
        key_ring.on_record(self._broadcast)

    def on_digest(self, sender: Member, digest: Digest) -> None:
        """Request the difference from a daemon whose records differ."""
        now = self._clock.elapsed()
        if digest.keys == self._key_ring.hash_records():
            return
        if now - self._requested_at >= REQUEST_INTERVAL:
            self._requested_at = now
            message = KeyMessage(GossipKind.ask, buckets=self._key_ring.buckets)
            self._send(sender, message)

    def _broadcast(self, record: KeyRecord) -> None:
        message = KeyMessage(GossipKind.contents, records=[record])
        for member in choose_gossip_peers(self._members, self._random):
            self._send(member, message)

    def _receive(self, sender: Member, content: bytes) -> None:
        try:
            message = decode_msgpack(content, KeyMessage)
        except MalformedMessageError:
            self._counters.add('peer_messages_dropped', reason='keys')
            return
        # A single record is a new change and is passed on. A list is the
        # difference to one daemon; the others reconcile it for themselves.
        fresh = len(message.records) == 1
        for record in message.records:
            self._key_ring.merge(record, notify=fresh)
        if message.kind is GossipKind.ask:
            self._send_difference(sender, message.buckets)

    def _send_difference(self, receiver: Member, buckets: list[int]) -> None:
        if len(buckets) != len(self._key_ring.buckets):
            return
        different = self._key_ring.list_different(buckets)
        for start in range(0, len(different), RECORDS_PER_MESSAGE):
            records = different[start : start + RECORDS_PER_MESSAGE]
            self._send(receiver, KeyMessage(GossipKind.contents, records))

    def _send(self, receiver: Member, message: KeyMessage) -> None:
        content = msgspec.msgpack.encode(message)
        self._peers.send(receiver, Topic.keys, content)
