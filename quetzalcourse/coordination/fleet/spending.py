"""Spending against the fleet budget, stored in the platform's table."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from quetzalcourse.coordination.usage.usage_rows import require_unchanged
from quetzalcourse.state.decoding import decode_json
from quetzalcourse.state.fleet import SpendingRecord
from quetzalcourse.state.rows import FaultKind, StoreFault, Transaction, Write

if TYPE_CHECKING:
    from quetzalcourse.coordination.leases.lease import Lease
    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.state.clock import Clock

SPENDING_KEY = 'spending'
SECONDS_PER_HOUR = 3600


def advance_spending(
    record: SpendingRecord | None,
    now: float,
    rate: float,
    period: float,
) -> SpendingRecord:
    """Advance the spending record to the current time.

    The time since the last update is charged at the rate of that update, so
    that upstreams are also charged while no daemon held the lease. A new
    period starts at zero.

    :param record: last stored record, if any.
    :param now: seconds since the epoch.
    :param rate: cost per hour from now on.
    :param period: length of the budget period in seconds.
    """
    started = now // period * period
    if record is None or record.started > started:
        return SpendingRecord(started, now, 0, rate)
    same_period = record.started == started
    since = record.updated if same_period else started
    previous = record.spent if same_period else 0
    hours = max(0, now - since) / SECONDS_PER_HOUR
    return SpendingRecord(started, now, previous + hours * record.rate, rate)


class SpendingTracker:
    """Updates the spending while the lease on platform orders is held."""

    def __init__(self, table: Table, lease: Lease, clock: Clock) -> None:
        """Start without state; the spending is stored in the table."""
        self._table = table
        self._lease = lease
        self._clock = clock

    async def update(
        self,
        rate: float,
        period: timedelta,
    ) -> Result[SpendingRecord, StoreFault]:
        """Charge the time since the last update.

        :param rate: current cost of the upstreams per hour.
        :param period: length of the budget period.
        """
        answer = await self._table.read(SPENDING_KEY)
        if isinstance(answer, Err):
            return answer
        row = answer.ok_value
        previous = None
        if row is not None:
            previous = decode_json(row.content, SpendingRecord)
        updated = advance_spending(
            previous,
            self._clock.now().timestamp(),
            rate,
            period.total_seconds(),
        )
        written = await self._table.transact(
            Transaction(
                (
                    self._lease.fence_condition(),
                    require_unchanged(SPENDING_KEY, row),
                ),
                (Write(SPENDING_KEY, msgspec.json.encode(updated)),),
            )
        )
        if isinstance(written, Err):
            return written
        if not written.ok_value.applied:
            return Err(
                StoreFault(FaultKind.not_applied, 'keep spending', 'table')
            )
        return Ok(updated)
