"""Daily sums of service-level events, stored beyond a daemon's lifetime."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import date, timedelta
from typing import TYPE_CHECKING

import msgspec
import xxhash
from result import Err, Ok, Result

from quetzalcourse.coordination.service_levels.burn import LevelEvents
from quetzalcourse.coordination.service_levels.service_levels import (
    EVENTS_METRIC,
)
from quetzalcourse.state.decoding import decode_json
from quetzalcourse.state.rows import StoreFault, Transaction, Write
from quetzalcourse.state.service_levels import EventCount

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters, Labels
    from quetzalcourse.state.manifest import ServiceLevel

BURN_PREFIX = 'burn/'
FLUSH_INTERVAL = timedelta(minutes=10)
PAGE_SIZE = 1000
HASH_RANGE = 2**32


@dataclass(frozen=True, slots=True)
class DaySums:
    """Events that one daemon counted on one day.

    :param levels: events by service level and client account.
    """

    day: date
    levels: dict[str, dict[str, EventCount]]


def build_sums_key(day: date, incarnation: str) -> str:
    """Build the row key of a daemon's sums; keys sort by day."""
    return f'{BURN_PREFIX}{day.isoformat()}/{incarnation}'


class DailySumsWriter:
    """Writes this daemon's sums of the day to the platform's table.

    The row belongs to this incarnation alone and holds the complete sums of the
    day. So a write whose answer was lost is simply repeated, and the events of
    a replaced daemon are kept. A killed daemon loses at most one flush interval
    of events.

    :param counters: counts the events of service levels.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        counters: Counters,
        incarnation: str,
    ) -> None:
        """Start the current day with nothing counted."""
        self._table = table
        self._clock = clock
        self._counters = counters
        self._incarnation = incarnation
        self._day = clock.now().date()
        self._baseline: dict[Labels, float] = {}
        self._written: DaySums | None = None

    async def flush(self) -> None:
        """Write the sums of the day if they changed.

        If the write is not answered, the next flush repeats it.
        """
        sums = self._sum_day()
        if sums != self._written and sums.levels:
            answer = await self._table.transact(
                Transaction(
                    (),
                    (
                        Write(
                            build_sums_key(sums.day, self._incarnation),
                            msgspec.json.encode(sums),
                        ),
                    ),
                )
            )
            if isinstance(answer, Err):
                return
            self._written = sums
        self._roll_over_day(sums)

    async def run(self) -> None:
        """Flush periodically until cancelled.

        Daemons that start together would otherwise all write at the same
        instant, so each starts at its own offset in the interval.
        """
        offset = xxhash.xxh32_intdigest(self._incarnation.encode())
        await self._clock.sleep(FLUSH_INTERVAL * (offset / HASH_RANGE))
        while True:
            await self._clock.sleep(FLUSH_INTERVAL)
            await self.flush()

    def _sum_day(self) -> DaySums:
        sums: dict[str, dict[str, EventCount]] = {}
        for labels, amount in self._counters.counts.get(
            EVENTS_METRIC, {}
        ).items():
            added = amount - self._baseline.get(labels, 0)
            if not added:
                continue
            label_values = dict(labels)
            accounts = sums.setdefault(label_values['service_level'], {})
            account = label_values['client_account']
            good = label_values['outcome'] == 'good'
            count = EventCount(added, 0) if good else EventCount(0, added)
            accounts[account] = accounts.get(account, EventCount()) + count
        return DaySums(self._day, sums)

    def _roll_over_day(self, written: DaySums) -> None:
        today = self._clock.now().date()
        if today == self._day:
            return
        # Events counted while the old day's row was being written belong to no
        # row yet; starting the new day from the written sums keeps them.
        for level, accounts in written.levels.items():
            for account, count in accounts.items():
                self._advance_baseline(level, account, 'good', count.good)
                self._advance_baseline(level, account, 'bad', count.bad)
        self._day = today
        self._written = None

    def _advance_baseline(
        self,
        level: str,
        account: str,
        outcome: str,
        amount: float,
    ) -> None:
        labels = (
            ('client_account', account),
            ('outcome', outcome),
            ('service_level', level),
        )
        self._baseline[labels] = self._baseline.get(labels, 0) + amount


async def read_sums(
    table: Table,
    levels: Iterable[ServiceLevel],
    today: date,
) -> Result[dict[str, LevelEvents], StoreFault]:
    """Sum the events of each service level over its period.

    :param levels: service levels of the manifest.
    :param today: last day of the period.
    :returns: events by service level, without windows.
    """
    periods = {level.name: level.period for level in levels}
    longest = max(periods.values(), default=timedelta(0))
    cursor = f'{BURN_PREFIX}{(today - longest).isoformat()}'
    events: dict[str, LevelEvents] = {}
    while True:
        answer = await table.scan(BURN_PREFIX, cursor, PAGE_SIZE)
        if isinstance(answer, Err):
            return answer
        rows = answer.ok_value
        for row in rows:
            sums = decode_json(row.content, DaySums)
            add_day(sums, periods, today, events)
        if len(rows) < PAGE_SIZE:
            return Ok(events)
        cursor = rows[-1].key


def add_day(
    sums: DaySums,
    periods: dict[str, timedelta],
    today: date,
    events: dict[str, LevelEvents],
) -> None:
    """Add a daemon's day to the service levels whose period contains it.

    :param periods: period by service level.
    :param events: events by service level, updated in place.
    """
    age = today - sums.day
    for level, accounts in sums.levels.items():
        if level not in periods or age >= periods[level]:
            continue
        entry = events.setdefault(level, LevelEvents())
        for account, count in accounts.items():
            entry.add_account(account, count)
