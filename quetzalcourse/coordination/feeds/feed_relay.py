"""Rows from other daemons, while the store turns this one away.

The store may refuse some daemons and serve the others. A daemon that it
refuses would go on with the keys and routes of before, and a caller whose
key was withdrawn would be served there for as long. So it asks the others
for what is newer.
"""

from __future__ import annotations

import random
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.tasks import wait_event
from quetzalcourse.log import get_log
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

# With three asked at a time, one that is itself turned away, or was killed,
# costs no more than the next tick.
PEERS_PER_REQUEST = 3
REQUEST_INTERVAL = timedelta(milliseconds=250)
log = get_log('relay')


class RowsRequest(msgspec.Struct, frozen=True):
    """Question for the rows of a table.

    :param newest: version of the newest row that the sender knows.
    """

    table: str
    newest: int


class RowUpdate(msgspec.Struct, frozen=True):
    """A row on its way between daemons."""

    key: str
    content: bytes
    version: int
    removed: bool = False


class RowsUpdate(msgspec.Struct, frozen=True):
    """Rows of a table that are newer than those asked about.

    :param newest: newest version that the sender knows.
    :param rows: none if the one who asked knows as much.
    :param keys: all rows there are, if ``rows`` has any; others are gone.
    :param hears_store: whether the store answers the sender.
    """

    table: str
    newest: int
    rows: list[RowUpdate]
    keys: list[str]
    hears_store: bool


class FeedRelay:
    """Asks and answers for the rows of some tables.

    :param followers: follow the tables that are asked for.
    :param readiness: learns from every answer who reaches the store.
    :param relay_peers: learns it too, and wakes to ask at once.
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
        """Listen to questions and answers."""
        self._followers = {one.table: one for one in followers}
        self._peers = peers
        self._members = members
        self._readiness = readiness
        self._relay_peers = relay_peers
        self._clock = clock
        self._counters = counters
        self._random = random.Random()
        peers.subscribe(Topic.rows_asked, self.on_request)
        peers.subscribe(Topic.rows_told, self.on_update)

    async def run(self) -> None:
        """Ask while the store does not answer, until cancelled."""
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
        """Answer a daemon with what it does not know.

        It learns from an answer without rows that this one is in reach.
        """
        request = msgspec.msgpack.decode(content, type=RowsRequest)
        follower = self._followers.get(request.table)
        if follower is None:
            return
        update = RowsUpdate(
            request.table,
            follower.newest_version,
            [],
            [],
            hears_store=follower.loaded and not follower.store_unavailable,
        )
        if update.hears_store and update.newest > request.newest:
            update.rows.extend(_list_newer(follower, request.newest))
            update.keys.extend(follower.rows)
        self._peers.send(
            sender, Topic.rows_told, msgspec.msgpack.encode(update)
        )

    def on_update(self, sender: Member, content: bytes) -> None:
        """Take rows that another daemon knows."""
        update = msgspec.msgpack.decode(content, type=RowsUpdate)
        self._readiness.on_report(sender, hears_store=update.hears_store)
        self._relay_peers.on_report(sender, hears_store=update.hears_store)
        follower = self._followers.get(update.table)
        if (
            follower is None
            or not follower.store_unavailable
            or not update.rows
        ):
            return
        present = set(update.keys)
        deleted = [
            Row(key, b'', update.newest, removed=True)
            for key in follower.rows
            if key not in present
        ]
        rows = [Row(row.key, row.content, row.version) for row in update.rows]
        self._counters.add('rows_relayed', len(rows), table=update.table)
        log.info(
            'Rows came from another daemon.',
            table=update.table,
            peer=sender.address,
            rows=len(rows),
            newest=update.newest,
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


def _list_newer(follower: TableFollower, version: int) -> list[RowUpdate]:
    return [
        RowUpdate(row.key, row.content, row.version)
        for row in follower.rows.values()
        if row.version > version
    ]
