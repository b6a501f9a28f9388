"""Persistence of quarantines in the platform's store.

A row survives restarts of all daemons, reaches daemons that missed the
messages between daemons, and lets operators see and lift a quarantine. Its
conditional write decides which daemon runs a trial.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, Annotated

import msgspec
from result import Ok

from quetzalcourse.coordination.quarantine.records import (
    MAX_TRIALS,
    QUARANTINE_RETENTION,
)
from quetzalcourse.coordination.tasks import wait_event
from quetzalcourse.log import get_log
from quetzalcourse.state.decoding import (
    MalformedMessageError,
    MillisecondCount,
    decode_json,
)
from quetzalcourse.state.rows import ABSENT, Condition, Transaction, Write

if TYPE_CHECKING:
    from quetzalcourse.coordination.feeds.follower import TableFollower
    from quetzalcourse.coordination.feeds.ports import StoreClock
    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.coordination.quarantine.quarantine import Quarantine
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.rows import Row

TABLE = 'quarantine'
PREFIX = f'{TABLE}//'
RETRY_DELAY = timedelta(milliseconds=500)
# A row that is missing after this time is written by any daemon.
SYNC_INTERVAL = timedelta(seconds=5)
# May be long: the table rarely changes, and daemons also message each other.
FEED_POLL_TIMEOUT = timedelta(seconds=2)
# How long the row of a lifted quarantine may still appear in the feed.
LIFTED_TTL = timedelta(seconds=5)
MILLISECOND = timedelta(milliseconds=1)
# The quarantine time doubles with each trial.
TrialCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_TRIALS)]
log = get_log('quarantine')


class QuarantineRow(msgspec.Struct, frozen=True):
    """Row of a quarantined request.

    :param upstreams: names of the upstreams that crashed while running it.
    :param since_ms: store time in milliseconds at which it was quarantined or
        its last trial began.
    :param trials: number of trials that were started.
    """

    upstreams: list[str]
    since_ms: MillisecondCount = 0
    trials: TrialCount = 0


class QuarantineStore:
    """Synchronises this daemon's quarantines with the store's rows."""

    def __init__(
        self,
        quarantine: Quarantine,
        table: Table,
        follower: TableFollower,
        store_clock: StoreClock,
        clock: Clock,
    ) -> None:
        """Subscribe to the table and to this daemon's quarantine."""
        self._quarantine = quarantine
        self._records = quarantine.records
        self._table = table
        self._follower = follower
        self._store_clock = store_clock
        self._clock = clock
        self._lifted: dict[str, timedelta] = {}
        self._wake = asyncio.Event()
        follower.on_rows(self.on_rows)
        quarantine.on_quarantine(self._on_quarantine)
        quarantine.on_local_answer(self._on_answer)
        quarantine.trials = self

    def on_rows(self, rows: list[Row]) -> None:
        """Apply changed rows."""
        for row in rows:
            fingerprint = row.key.removeprefix(PREFIX)
            if row.removed:
                self._lifted.pop(fingerprint, None)
                self._quarantine.lift(fingerprint, 'row removed')
            elif fingerprint in self._lifted:
                self._wake.set()
            else:
                self._adopt(fingerprint, row)

    async def run(self) -> None:
        """Write and remove rows until they match this daemon's quarantine."""
        while True:
            await wait_event(self._wake, SYNC_INTERVAL)
            self._wake.clear()
            while self._is_out_of_sync():
                await self._write_missing()
                await self._remove_lifted()
                await self._clock.sleep(RETRY_DELAY)

    def _on_quarantine(self, fingerprint: str) -> None:
        self._lifted.pop(fingerprint, None)
        self._wake.set()

    def _on_answer(self, fingerprint: str) -> None:
        # A write of its row may still be in flight.
        self._lifted[fingerprint] = self._clock.elapsed()
        self._wake.set()

    async def claim(self, fingerprint: str) -> bool:
        """Restart the quarantine of a request, unless another daemon has.

        :returns: whether this daemon runs the trial; its answer lifts the
            quarantine.
        """
        row = self._follower.rows.get(f'{PREFIX}{fingerprint}')
        current = None if row is None else read_row(row)
        now = self._store_clock.estimate()
        if row is None or current is None or now is None:
            return False
        renewed = QuarantineRow(
            current.upstreams, now // MILLISECOND, current.trials + 1
        )
        if not await self._write(row.key, renewed, row.version):
            return False
        self._records.quarantine(fingerprint, timedelta(0), renewed.trials)
        return True

    def _adopt(self, fingerprint: str, row: Row) -> None:
        stored = read_row(row)
        if stored is None:
            log.warning('Quarantine row is malformed.', key=row.key)
            return
        age = self._find_age(stored)
        if age > QUARANTINE_RETENTION:
            self._lifted[fingerprint] = self._clock.elapsed()
            self._wake.set()
            return
        self._quarantine.adopt(
            fingerprint, stored.upstreams, age, stored.trials
        )

    def _find_age(self, row: QuarantineRow) -> timedelta:
        now = self._store_clock.estimate()
        if now is None:
            return timedelta(0)
        return max(now - row.since_ms * MILLISECOND, timedelta(0))

    def _is_out_of_sync(self) -> bool:
        return bool(self._lifted) or bool(self._list_missing())

    def _list_missing(self) -> list[str]:
        if not len(self._records):
            return []
        return [
            fingerprint
            for fingerprint in self._records.list_quarantined()
            if f'{PREFIX}{fingerprint}' not in self._follower.rows
        ]

    async def _write_missing(self) -> None:
        now = self._store_clock.estimate()
        for fingerprint in self._list_missing():
            record = self._records.find(fingerprint)
            if record is None or now is None:
                continue
            age = self._clock.elapsed() - record.changed_at
            row = QuarantineRow(
                self._records.list_upstreams(fingerprint),
                (now - age) // MILLISECOND,
                record.trials,
            )
            await self._write(f'{PREFIX}{fingerprint}', row, ABSENT)

    async def _remove_lifted(self) -> None:
        for fingerprint in tuple(self._lifted):
            key = f'{PREFIX}{fingerprint}'
            if key in self._follower.rows:
                await self._table.transact(Transaction((), (Write(key, None),)))
            elif self._clock.elapsed() - self._lifted[fingerprint] > LIFTED_TTL:
                self._lifted.pop(fingerprint)

    async def _write(self, key: str, row: QuarantineRow, version: int) -> bool:
        answer = await self._table.transact(
            Transaction(
                (Condition(key, version),),
                (Write(key, msgspec.json.encode(row)),),
            )
        )
        return isinstance(answer, Ok) and answer.ok_value.applied


def read_row(row: Row) -> QuarantineRow | None:
    """Decode a row, ``None`` if it is malformed."""
    try:
        return decode_json(row.content, QuarantineRow)
    except MalformedMessageError:
        return None
