"""Fetches rows from other daemons while the store refuses this one.

The store may refuse some daemons and serve others. A refused daemon would go
on with outdated keys and routes, and serve a caller whose key has been
withdrawn. So it asks other daemons for newer rows.
"""

from __future__ import annotations

import random
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.tasks import wait_event
from quetzalcourse.log import get_log
from quetzalcourse.state.decoding import decode_msgpack
from quetzalcourse.state.members import Topic
from quetzalcourse.state.rows import Row

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.coordination.feeds.follower import TableFollower
    from quetzalcourse.coordination.feeds.relay_peers import RelayPeers
    from quetzalcourse.coordination.feeds.readiness import StoreReadiness
    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.members import Member

# With three peers per request, a peer that is refused itself or was killed
# delays the rows by one request interval at most.
PEERS_PER_REQUEST = 3
REQUEST_INTERVAL = timedelta(milliseconds=250)
log = get_log('relay')


class RowsRequest(msgspec.Struct, frozen=True):
    """Request for the rows of a table.

    :param newest: version of the newest row that the sender has.
    """

    table: str
    newest: int


class RelayedRow(msgspec.Struct, frozen=True):
    """A row sent between daemons."""

    key: str
    content: bytes
    version: int
    removed: bool = False


class RowsReply(msgspec.Struct, frozen=True):
    """Rows of a table that are newer than the requester's.

    :param newest: newest version that the sender has.
    :param rows: empty if the requester is up to date.
    :param keys: keys of all existing rows, if ``rows`` has any; other rows are
        deleted.
    :param hears_store: whether the store answers the sender.
    """

    table: str
    newest: int
    rows: list[RelayedRow]
    keys: list[str]
    hears_store: bool


class FeedRelay:
    """Requests rows of some tables from peers and answers their requests.

    :param followers: local copies of the tables.
    :param readiness: gets every peer's report on whether it reaches the store.
    :param relay_peers: gets these reports too, and can trigger a request at
        once.
    """

    def __init__(
        self,
        followers: Iterable[TableFollower],
        peers: Peers,
        members: MemberView,
        readiness: StoreReadiness,
        relay_peers: RelayPeers,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Subscribe to requests and replies."""
        self._followers = {one.table: one for one in followers}
        self._peers = peers
        self._members = members
        self._readiness = readiness
        self._relay_peers = relay_peers
        self._clock = clock
        self._counters = counters
        self._random = random.Random()
        peers.subscribe(Topic.rows_asked, self.on_request)
        peers.subscribe(Topic.rows_told, self.on_reply)

    async def run(self) -> None:
        """Request rows while the store is unavailable, until cancelled."""
        while True:
            for follower in self._followers.values():
                if (
                    follower.store_unavailable
                    or self._relay_peers.report_request.is_set()
                ):
                    self._request_rows(follower)
            self._relay_peers.report_request.clear()
            await wait_event(self._relay_peers.report_request, REQUEST_INTERVAL)

    def on_request(self, sender: Member, content: bytes) -> None:
        """Reply to a request with the rows that are newer than the sender's.

        A reply without rows still shows that this daemon is reachable.
        """
        request = decode_msgpack(content, RowsRequest)
        follower = self._followers.get(request.table)
        if follower is None:
            return
        reply = RowsReply(
            request.table,
            follower.newest_version,
            [],
            [],
            hears_store=follower.loaded and not follower.store_unavailable,
        )
        if reply.hears_store and reply.newest > request.newest:
            reply.rows.extend(_list_newer(follower, request.newest))
            reply.keys.extend(follower.rows)
        self._peers.send(sender, Topic.rows_told, msgspec.msgpack.encode(reply))

    def on_reply(self, sender: Member, content: bytes) -> None:
        """Apply rows from another daemon while the store is unavailable."""
        reply = decode_msgpack(content, RowsReply)
        self._readiness.on_report(sender, hears_store=reply.hears_store)
        self._relay_peers.on_report(sender, hears_store=reply.hears_store)
        follower = self._followers.get(reply.table)
        if follower is None or not follower.store_unavailable or not reply.rows:
            return
        present = set(reply.keys)
        deleted = [
            Row(key, b'', reply.newest, removed=True)
            for key in follower.rows
            if key not in present
        ]
        rows = [Row(row.key, row.content, row.version) for row in reply.rows]
        self._counters.add('rows_relayed', len(rows), table=reply.table)
        log.info(
            'Received newer rows from another daemon.',
            table=reply.table,
            peer=sender.address,
            rows=len(rows),
            newest=reply.newest,
        )
        follower.apply_rows([*rows, *deleted])

    def _request_rows(self, follower: TableFollower) -> None:
        own = self._members.own
        others = [
            member
            for member in self._members.list_live()
            if member.vm != own.vm
        ]
        request = RowsRequest(follower.table, follower.newest_version)
        content = msgspec.msgpack.encode(request)
        count = min(PEERS_PER_REQUEST, len(others))
        for member in self._random.sample(others, count):
            self._peers.send(member, Topic.rows_asked, content)


def _list_newer(follower: TableFollower, version: int) -> list[RelayedRow]:
    return [
        RelayedRow(row.key, row.content, row.version)
        for row in follower.rows.values()
        if row.version > version
    ]
