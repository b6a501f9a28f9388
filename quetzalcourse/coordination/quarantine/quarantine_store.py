"""Keeps quarantines in the platform's store.

A row outlives restarts of all daemons, reaches those that missed the messages
between daemons, and lets operators see and lift a quarantine. Its conditional
write decides which daemon runs a trial.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from result import Ok

from quetzalcourse.coordination.quarantine.records import QUARANTINE_RETENTION
from quetzalcourse.coordination.tasks import BackgroundTasks, wait_event
from quetzalcourse.log import get_log
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
# A row that is missing after that time is written by any daemon.
SYNC_INTERVAL = timedelta(seconds=5)
# Changes of the table are rare, and daemons tell each other beforehand.
FEED_POLL_TIMEOUT = timedelta(seconds=2)
# Time for which a row that is lifted may still appear.
LIFTED_TTL = timedelta(seconds=5)
MILLISECOND = timedelta(milliseconds=1)
log = get_log('quarantine')


class QuarantineRow(msgspec.Struct, frozen=True):
    """A quarantined request.

    :param upstreams: names of upstreams that ended under it.
    :param since_ms: the store's clock when it was quarantined, or when its
        last trial began.
    :param trials: trials that were begun.
    """

    upstreams: list[str]
    since_ms: int = 0
    trials: int = 0


class QuarantineStore:
    """Writes the quarantines of this daemon, and takes those of all."""

    def __init__(
        self,
        quarantine: Quarantine,
        table: Table,
        follower: TableFollower,
        store_clock: StoreClock,
        clock: Clock,
    ) -> None:
        """Follow the table and this daemon's quarantine."""
        self._quarantine = quarantine
        self._records = quarantine.records
        self._table = table
        self._follower = follower
        self._store_clock = store_clock
        self._clock = clock
        self._lifted: dict[str, timedelta] = {}
        self._claims: set[str] = set()
        self._wake = asyncio.Event()
        self._tasks = BackgroundTasks('quarantine')
        follower.on_rows(self.on_rows)
        quarantine.on_quarantine(self._on_quarantine)
        quarantine.on_local_answer(self._on_answer)
        quarantine.trials = self

    def on_rows(self, rows: list[Row]) -> None:
        """Take rows that changed."""
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
        """Bring the store in line with this daemon's quarantine."""
        while True:
            await wait_event(self._wake, SYNC_INTERVAL)
            self._wake.clear()
            while self._is_behind():
                await self._write_missing()
                await self._remove_lifted()
                await self._clock.sleep(RETRY_DELAY)

    def _on_quarantine(self, fingerprint: str) -> None:
        self._lifted.pop(fingerprint, None)
        self._wake.set()

    def _on_answer(self, fingerprint: str) -> None:
        # Its row may be on its way to the store.
        self._lifted[fingerprint] = self._clock.elapsed()
        self._wake.set()

    def schedule_claim(self, fingerprint: str) -> None:
        """Claim the trial of a request without waiting."""
        if fingerprint not in self._claims:
            self._claims.add(fingerprint)
            self._tasks.start(self._claim_later(fingerprint))

    async def claim(self, fingerprint: str) -> bool:
        """Begin the quarantine of a request anew, unless another daemon does.

        :returns: whether this daemon runs the trial, whose answer lifts it.
        """
        row = self._follower.rows.get(f'{PREFIX}{fingerprint}')
        known = None if row is None else read_row(row)
        now = self._store_clock.estimate()
        if row is None or known is None or now is None:
            return False
        renewed = QuarantineRow(
            known.upstreams, now // MILLISECOND, known.trials + 1
        )
        if not await self._write(row.key, renewed, row.version):
            return False
        self._records.quarantine(fingerprint, timedelta(0), renewed.trials)
        return True

    async def _claim_later(self, fingerprint: str) -> None:
        try:
            if await self.claim(fingerprint):
                self._quarantine.allow_trial(fingerprint)
        finally:
            self._claims.discard(fingerprint)

    def _adopt(self, fingerprint: str, row: Row) -> None:
        known = read_row(row)
        if known is None:
            log.warning('Row of a quarantine is malformed.', key=row.key)
            return
        age = self._find_age(known)
        if age > QUARANTINE_RETENTION:
            self._lifted[fingerprint] = self._clock.elapsed()
            self._wake.set()
            return
        self._quarantine.adopt(fingerprint, known.upstreams, age, known.trials)

    def _find_age(self, row: QuarantineRow) -> timedelta:
        now = self._store_clock.estimate()
        if now is None:
            return timedelta(0)
        return max(now - row.since_ms * MILLISECOND, timedelta(0))

    def _is_behind(self) -> bool:
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
    """Read a row, ``None`` if it is malformed."""
    try:
        return msgspec.json.decode(row.content, type=QuarantineRow)
    except msgspec.DecodeError:
        return None
