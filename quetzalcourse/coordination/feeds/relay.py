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

from quetzalcourse.log import get_log
from quetzalcourse.state.members import Topic
from quetzalcourse.state.rows import Row

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.coordination.feeds.follower import TableFollower
    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.members import Member

# With three asked at a time, one that is itself turned away, or was killed,
# costs no more than the next tick.
ASKED = 3
TICK = timedelta(milliseconds=250)
log = get_log('relay')


class RowsAsked(msgspec.Struct, frozen=True):
    """Question for the rows of a table.

    :param newest: version of the newest row that the sender knows.
    """

    table: str
    newest: int


class RowTold(msgspec.Struct, frozen=True):
    """A row on its way between daemons."""

    key: str
    content: bytes
    version: int


class RowsTold(msgspec.Struct, frozen=True):
    """Rows of a table that are newer than those asked about.

    :param newest: newest version that the sender knows.
    :param keys: all rows there are; others are gone.
    """

    table: str
    newest: int
    rows: list[RowTold]
    keys: list[str]


class FeedRelay:
    """Asks and answers for the rows of some tables.

    :param followers: follow the tables that are asked for.
    """

    def __init__(
        self,
        followers: Iterable[TableFollower],
        peers: Peers,
        members: MemberView,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Listen to questions and answers."""
        self._followers = {one.table: one for one in followers}
        self._peers = peers
        self._members = members
        self._clock = clock
        self._counters = counters
        self._random = random.Random()
        peers.subscribe(Topic.rows_asked, self.on_asked)
        peers.subscribe(Topic.rows_told, self.on_told)

    async def run(self) -> None:
        """Ask while the store does not answer, until cancelled."""
        while True:
            for follower in self._followers.values():
                if follower.faulty:
                    self._ask(follower)
            await self._clock.sleep(TICK)

    def on_asked(self, sender: Member, content: bytes) -> None:
        """Answer a daemon if this one knows more."""
        asked = msgspec.msgpack.decode(content, type=RowsAsked)
        follower = self._followers.get(asked.table)
        if follower is None or not follower.loaded or follower.faulty:
            return
        if follower.newest <= asked.newest:
            return
        rows = [
            RowTold(row.key, row.content, row.version)
            for row in follower.rows.values()
            if row.version > asked.newest
        ]
        told = RowsTold(asked.table, follower.newest, rows, list(follower.rows))
        self._peers.send(sender, Topic.rows_told, msgspec.msgpack.encode(told))

    def on_told(self, sender: Member, content: bytes) -> None:
        """Take rows that another daemon knows."""
        told = msgspec.msgpack.decode(content, type=RowsTold)
        follower = self._followers.get(told.table)
        if follower is None or not follower.faulty:
            return
        present = set(told.keys)
        gone = [
            Row(key, b'', told.newest, removed=True)
            for key in follower.rows
            if key not in present
        ]
        rows = [Row(row.key, row.content, row.version) for row in told.rows]
        self._counters.add('rows_relayed', len(rows), table=told.table)
        log.info(
            'Rows came from another daemon.',
            table=told.table,
            peer=sender.address,
            rows=len(rows),
            newest=told.newest,
        )
        follower.adopt([*rows, *gone])

    def _ask(self, follower: TableFollower) -> None:
        own = self._members.own
        others = [
            member
            for member in self._members.list_live()
            if member.vm != own.vm
        ]
        asked = RowsAsked(follower.table, follower.newest)
        content = msgspec.msgpack.encode(asked)
        count = min(ASKED, len(others))
        for member in self._random.sample(others, count):
            self._peers.send(member, Topic.rows_asked, content)
