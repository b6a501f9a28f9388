"""Replication of usage to peers, which store it if a daemon dies."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
import xxhash

from quetzalcourse.log import get_log
from quetzalcourse.state.decoding import MalformedMessageError, decode_msgpack
from quetzalcourse.state.members import Topic
from quetzalcourse.state.usage import (
    UsageByKey,
    UsageRow,
    index_entries,
    merge_entries,
    list_entries,
    name_window,
)

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.coordination.usage.usage_counter import UsageCounter
    from quetzalcourse.coordination.usage.usage_rows import UsageRowStore
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.members import Member

REPLICA_COUNT = 2
FULL_COPY_ROUNDS = 12
MAX_COPY_AGE_WINDOWS = 2
log = get_log('usage')


def choose_replica_peers(own: Member, live: list[Member]) -> list[Member]:
    """Choose the peers that hold the copies of a daemon's usage.

    One of them is in another data centre if possible, since a data centre
    can be lost as a whole.

    :param live: all live daemons.
    """
    others = sorted(
        (member for member in live if member.incarnation != own.incarnation),
        key=lambda member: xxhash.xxh32_intdigest(
            f'{own.incarnation} {member.incarnation}'.encode()
        ),
    )
    near = [
        member for member in others if member.data_centre == own.data_centre
    ]
    far = [member for member in others if member.data_centre != own.data_centre]
    return [*near[:1], *far[:1], *near[1:], *far[1:]][:REPLICA_COUNT]


class UsageReplicator:
    """Copies this daemon's usage to peers, and stores that of dead daemons.

    :param usage: usage counted by this daemon.
    :param row_store: stores usage rows in the table.
    :param interval: time between copies; a killed daemon loses at most what
        it counted in that time.
    """

    def __init__(
        self,
        usage: UsageCounter,
        row_store: UsageRowStore,
        peers: Peers,
        members: MemberView,
        clock: Clock,
        counters: Counters,
        interval: timedelta,
    ) -> None:
        """Start without copies of other daemons."""
        self._usage = usage
        self._row_store = row_store
        self._peers = peers
        self._members = members
        self._clock = clock
        self._counters = counters
        self._interval = interval
        self._rounds_until_full = 0
        self._copies: dict[tuple[str, str], UsageByKey] = {}
        peers.subscribe(Topic.usage, self._receive)
        members.on_change(self._on_members_changed)

    async def run_replication(self) -> None:
        """Send copies for as long as the daemon runs.

        This is a separate task: a slow store must not delay copies, since a
        daemon that dies would then lose more usage.
        """
        while True:
            await self._clock.sleep(self._interval)
            self.send()

    async def run_storing(self) -> None:
        """Store the due rows for as long as the daemon runs."""
        while True:
            await self._clock.sleep(self._interval)
            await self.store_due()

    def send(self) -> None:
        """Copy changes to the replica peers, and all windows periodically.

        Messages may be lost, and the replica peers change with the members.
        The next full copy corrects both.
        """
        changes = self._usage.take_changes()
        self._rounds_until_full -= 1
        if self._rounds_until_full <= 0:
            self._rounds_until_full = FULL_COPY_ROUNDS
            windows = self._usage.list_windows()
            changes = [self._usage.read(window) for window in windows]
        replica_peers = choose_replica_peers(
            self._members.own, self._members.list_live()
        )
        for row in changes:
            content = msgspec.msgpack.encode(row)
            for peer in replica_peers:
                self._peers.send(peer, Topic.usage, content)

    async def store_due(self) -> None:
        """Store finished windows of this daemon and copies of dead daemons."""
        now = name_window(self._clock.now(), self._usage.window_length)
        for window in self._usage.list_windows():
            if window < now:
                await self._store_own(window)
        live = {member.incarnation for member in self._members.list_live()}
        for incarnation, window in sorted(self._copies):
            if incarnation not in live or self._is_old(window):
                await self._store_copy(incarnation, window)
        self._usage.drop_oldest()
        self._counters.set('usage_windows_dropped', self._usage.dropped)
        self._counters.set('usage_copies', len(self._copies))

    async def flush(self) -> None:
        """Store all windows of this daemon before it stops."""
        for window in self._usage.list_windows():
            await self._store_own(window)

    def _on_members_changed(self) -> None:
        self._rounds_until_full = 0

    async def _store_own(self, window: str) -> None:
        row = self._usage.read(window)
        if await self._row_store.store(row):
            self._usage.drop(row)
        else:
            self._counters.add('usage_store_failures')

    async def _store_copy(self, incarnation: str, window: str) -> None:
        entries = self._copies[incarnation, window]
        row = UsageRow(window, incarnation, list_entries(entries))
        if not await self._row_store.store(row):
            self._counters.add('usage_store_failures')
        elif self._copies.get((incarnation, window)) == entries:
            self._copies.pop((incarnation, window))

    def _is_old(self, window: str) -> bool:
        oldest = (
            self._clock.now() - MAX_COPY_AGE_WINDOWS * self._usage.window_length
        )
        return window < name_window(oldest, self._usage.window_length)

    def _receive(self, sender: Member, content: bytes) -> None:
        try:
            row = decode_msgpack(content, UsageRow)
        except MalformedMessageError:
            self._counters.add('usage_messages_malformed')
            log.warning(
                'Malformed usage message dropped.', peer=sender.incarnation
            )
            return
        copy_key = (sender.incarnation, row.window)
        self._copies[copy_key] = merge_entries(
            self._copies.get(copy_key, {}), index_entries(row.entries)
        )
