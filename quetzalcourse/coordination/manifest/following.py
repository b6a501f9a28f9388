"""Following the platform's store at a rate that daemons share."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err

from quetzalcourse.coordination.manifest.key_table import (
    KEYS_KEY,
    read_sequence,
)
from quetzalcourse.coordination.manifest.manifest import MANIFEST_KEY
from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from datetime import datetime
    from random import Random

    from quetzalcourse.coordination.manifest.key_table import KeyTable
    from quetzalcourse.coordination.manifest.keys import KeyRing
    from quetzalcourse.coordination.manifest.manifest import ManifestKeeper
    from quetzalcourse.coordination.ports import MemberView, Table
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.keys import KeyRecord
    from quetzalcourse.state.rows import Row, StoreFault

HEADS_PREFIX = 'heads/'
SPREAD = 0.3
WRITES_PER_POLL = 8
LATEST_CHECK = timedelta(seconds=1)
log = get_log('following')


class StoreFollower:
    """Reads what changed in the store, in turns with the data centre.

    Each daemon waits as many intervals as daemons are live in its data
    centre, so the store sees one read an interval however many there are;
    what one finds it tells the others.

    :param interval: time between two reads by the data centre.
    """

    def __init__(
        self,
        table: Table,
        keeper: ManifestKeeper,
        keys: KeyTable,
        ring: KeyRing,
        members: MemberView,
        clock: Clock,
        random: Random,
        interval: timedelta,
    ) -> None:
        """Begin with nothing read."""
        self.cut_since: datetime | None = None
        self.read_at: timedelta | None = None
        self._table = table
        self._keeper = keeper
        self._keys = keys
        self._ring = ring
        self._members = members
        self._clock = clock
        self._random = random
        self._interval = interval
        self._sequence = 0
        self._stored: dict[str, KeyRecord] = {}

    def list_unstored(self) -> list[KeyRecord]:
        """List the key changes that the table does not have yet."""
        return [
            record
            for key_id, record in self._ring.records.items()
            if self._stored.get(key_id) != record
        ]

    async def run(self) -> None:
        """Read in turns until cancelled."""
        last = self._clock.elapsed()
        # Daemons that start together would otherwise read together.
        share = self._random.random()
        while True:
            near = self._members.list_live(self._members.own.data_centre)
            due = last + self._interval * len(near) * share
            wait = due - self._clock.elapsed()
            if wait > timedelta(0):
                # The count of live daemons may fall meanwhile, as in a cut;
                # a single long sleep would leave the store unread for long.
                await self._clock.sleep(min(wait, LATEST_CHECK))
                continue
            last = self._clock.elapsed()
            share = self._draw_share()
            await self.poll()

    async def poll(self) -> None:
        """Read once and take in what is new."""
        began = self._clock.elapsed()
        answer = await self._table.scan(HEADS_PREFIX)
        if isinstance(answer, Err):
            self._note_fault(answer.err_value)
            return
        rows = {row.key: row for row in answer.ok_value}
        followed = await self._keeper.follow(rows.get(MANIFEST_KEY))
        if isinstance(followed, Err):
            self._note_fault(followed.err_value)
            return
        fault = await self._follow_keys(rows.get(KEYS_KEY))
        if fault is not None:
            self._note_fault(fault)
            return
        self.read_at = began
        if self.cut_since is not None:
            self.cut_since = None
            log.info('Store is read again.')

    async def _follow_keys(self, row: Row | None) -> StoreFault | None:
        if read_sequence(row) > self._sequence:
            read = await self._keys.read_after(self._sequence)
            if isinstance(read, Err):
                return read.err_value
            # The whole log is read at the start; others know it already,
            # and passing thousands of old changes on would be a storm.
            starting = self._sequence == 0
            sequence, records = read.ok_value
            self._sequence = sequence
            for record in records:
                self._take(record, tell=not starting)
        for unstored in self.list_unstored()[:WRITES_PER_POLL]:
            written = await self._keys.append(unstored)
            if isinstance(written, Err):
                return written.err_value
            self._stored[unstored.key_id] = unstored
        return None

    def _take(self, record: KeyRecord, tell: bool) -> None:
        self._ring.merge(record, tell=tell)
        known = self._stored.get(record.key_id)
        self._stored[record.key_id] = known.merge(record) if known else record

    def _note_fault(self, fault: StoreFault) -> None:
        if self.cut_since is None:
            self.cut_since = self._clock.now()
            log.warning('Store not read.', step=fault.step, peer=fault.peer)

    def _draw_share(self) -> float:
        return 1 + SPREAD * (2 * self._random.random() - 1)
