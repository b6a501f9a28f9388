"""Key changes on their way from daemon to daemon."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.manifest.gossip_peers import choose_gossip_peers
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
    """Passes key changes on, and compares what others know.

    :param ring: holds the keys.
    """

    def __init__(
        self,
        ring: KeyRing,
        members: MemberView,
        peers: Peers,
        clock: Clock,
        random: Random,
        counters: Counters,
    ) -> None:
        """Begin to listen."""
        self._ring = ring
        self._members = members
        self._peers = peers
        self._clock = clock
        self._random = random
        self._counters = counters
        self._requested_at = clock.elapsed() - REQUEST_INTERVAL
        peers.subscribe(Topic.keys, self._receive)
        ring.on_record(self._broadcast)

    def on_digest(self, sender: Member, digest: Digest) -> None:
        """Ask a daemon that knows other records for the difference."""
        now = self._clock.elapsed()
        if digest.keys == self._ring.hash_records():
            return
        if now - self._requested_at >= REQUEST_INTERVAL:
            self._requested_at = now
            news = KeyMessage(GossipKind.ask, buckets=self._ring.buckets)
            self._send(sender, news)

    def _broadcast(self, record: KeyRecord) -> None:
        news = KeyMessage(GossipKind.contents, records=[record])
        for member in choose_gossip_peers(self._members, self._random):
            self._send(member, news)

    def _receive(self, sender: Member, content: bytes) -> None:
        try:
            news = msgspec.msgpack.decode(content, type=KeyMessage)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._counters.add('peer_messages_dropped', reason='keys')
            return
        # A single change is fresh news and is passed on; a list is the
        # difference to one daemon, which the others compare for themselves.
        fresh = len(news.records) == 1
        for record in news.records:
            self._ring.merge(record, notify=fresh)
        if news.kind is GossipKind.ask:
            self._send_difference(sender, news.buckets)

    def _send_difference(self, receiver: Member, buckets: list[int]) -> None:
        if len(buckets) != len(self._ring.buckets):
            return
        different = self._ring.list_different(buckets)
        for start in range(0, len(different), RECORDS_PER_MESSAGE):
            records = different[start : start + RECORDS_PER_MESSAGE]
            self._send(receiver, KeyMessage(GossipKind.contents, records))

    def _send(self, receiver: Member, news: KeyMessage) -> None:
        content = msgspec.msgpack.encode(news)
        self._peers.send(receiver, Topic.keys, content)
