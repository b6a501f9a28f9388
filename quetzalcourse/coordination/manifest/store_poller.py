"""Polls the store for manifest and key changes at a shared rate."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err

from quetzalcourse.coordination.manifest.key_change_log import (
    KEYS_HEAD_KEY,
    decode_sequence,
)
from quetzalcourse.coordination.manifest.manifest_store import MANIFEST_KEY
from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from datetime import datetime
    from random import Random

    from quetzalcourse.coordination.manifest.key_change_log import KeyChangeLog
    from quetzalcourse.coordination.manifest.keys import KeyRing
    from quetzalcourse.coordination.manifest.manifest_store import ManifestStore
    from quetzalcourse.coordination.ports import MemberView, Table
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.keys import KeyRecord
    from quetzalcourse.state.rows import Row, StoreFault

HEADS_PREFIX = 'heads/'
JITTER = 0.3
WRITES_PER_POLL = 8
MAX_SLEEP = timedelta(seconds=1)
log = get_log('following')


class StorePoller:
    """Polls the store for changes, in turn with the data centre's daemons.

    Each daemon waits as many intervals as there are live daemons in its data
    centre, so the store gets one read per interval, however many there are.
    What one daemon finds, it passes on to the others.

    :param interval: time between two reads by the whole data centre.
    :ivar unreachable_since: when the reads started to fail, if they do.
    :ivar last_read_at: start of the last successful read.
    """

    def __init__(
        self,
        table: Table,
        manifest: ManifestStore,
        key_log: KeyChangeLog,
        key_ring: KeyRing,
        members: MemberView,
        clock: Clock,
        random: Random,
        interval: timedelta,
    ) -> None:
        """Start with nothing read."""
        self.unreachable_since: datetime | None = None
        self.last_read_at: timedelta | None = None
        self._table = table
        self._manifest = manifest
        self._key_log = key_log
        self._key_ring = key_ring
        self._members = members
        self._clock = clock
        self._random = random
        self._interval = interval
        self._sequence = 0
        self._stored: dict[str, KeyRecord] = {}

    def list_unstored(self) -> list[KeyRecord]:
        """List the key changes that are not in the store's log yet."""
        return [
            record
            for key_id, record in self._key_ring.records.items()
            if self._stored.get(key_id) != record
        ]

    async def run(self) -> None:
        """Poll in turn until cancelled."""
        last_poll = self._clock.elapsed()
        # Daemons that start together would otherwise poll together.
        jitter_factor = self._random.random()
        while True:
            local_members = self._members.list_live(
                self._members.own.data_centre
            )
            due = (
                last_poll + self._interval * len(local_members) * jitter_factor
            )
            wait = due - self._clock.elapsed()
            if wait > timedelta(0):
                # The number of live daemons may drop meanwhile, as in a
                # partition; after one long sleep the store would have been
                # unread for too long.
                await self._clock.sleep(min(wait, MAX_SLEEP))
                continue
            last_poll = self._clock.elapsed()
            jitter_factor = self._draw_jitter_factor()
            await self.poll()

    async def poll(self) -> None:
        """Read once and apply what has changed."""
        started_at = self._clock.elapsed()
        answer = await self._table.scan(HEADS_PREFIX)
        if isinstance(answer, Err):
            self._on_fault(answer.err_value)
            return
        rows = {row.key: row for row in answer.ok_value}
        refreshed = await self._manifest.refresh_from_row(
            rows.get(MANIFEST_KEY)
        )
        if isinstance(refreshed, Err):
            self._on_fault(refreshed.err_value)
            return
        fault = await self._poll_keys(rows.get(KEYS_HEAD_KEY))
        if fault is not None:
            self._on_fault(fault)
            return
        self.last_read_at = started_at
        if self.unreachable_since is not None:
            self.unreachable_since = None
            log.info('Store readable again.')

    async def _poll_keys(self, row: Row | None) -> StoreFault | None:
        if decode_sequence(row) > self._sequence:
            read = await self._key_log.read_after(self._sequence)
            if isinstance(read, Err):
                return read.err_value
            # The first read returns the whole log. Other daemons know it
            # already, and passing on thousands of old changes would flood
            # them with messages.
            initial_load = self._sequence == 0
            sequence, records = read.ok_value
            self._sequence = sequence
            for record in records:
                self._merge_record(record, notify=not initial_load)
        for unstored in self.list_unstored()[:WRITES_PER_POLL]:
            written = await self._key_log.append(unstored)
            if isinstance(written, Err):
                return written.err_value
            self._stored[unstored.key_id] = unstored
        return None

    def _merge_record(self, record: KeyRecord, notify: bool) -> None:
        self._key_ring.merge(record, notify=notify)
        known = self._stored.get(record.key_id)
        self._stored[record.key_id] = known.merge(record) if known else record

    def _on_fault(self, fault: StoreFault) -> None:
        if self.unreachable_since is None:
            self.unreachable_since = self._clock.now()
            log.warning(
                'Could not read the store.', step=fault.step, peer=fault.peer
            )

    def _draw_jitter_factor(self) -> float:
        return 1 + JITTER * (2 * self._random.random() - 1)
