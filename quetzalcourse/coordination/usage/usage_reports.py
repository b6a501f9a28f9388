"""Usage reports: windows are closed, frozen and sent with fixed content."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from quetzalcourse.coordination.fleet.in_flight import InFlightCalls
from quetzalcourse.coordination.usage.usage_rows import (
    LATE_PREFIX,
    build_closed_key,
    build_included_key,
    build_row_key,
    decode_entries,
    encode_row,
    require_unchanged,
)
from quetzalcourse.log import get_log
from quetzalcourse.state.decoding import decode_json
from quetzalcourse.state.engines import OrderProblem
from quetzalcourse.state.rows import (
    ABSENT,
    Condition,
    Row,
    StoreFault,
    Transaction,
    Write,
)
from quetzalcourse.state.usage import (
    UsageByKey,
    FrozenReport,
    UsageProgress,
    UsageReportContent,
    UsageRow,
    add_entries,
    find_window_start,
    index_entries,
    merge_entries,
    list_entries,
    name_next_window,
    name_window,
    subtract_entries,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.leases.lease import Lease
    from quetzalcourse.coordination.ports import Table, UsageReports
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

PROGRESS_KEY = 'usage-progress'
PAGE_SIZE = 200
POLL_INTERVAL = timedelta(seconds=2)
MAX_LATE_ROWS = 100
log = get_log('usage')


def build_report_key(window: str) -> str:
    """Build the key of a frozen report."""
    return f'usage-report/{window}'


async def scan_rows(
    table: Table,
    prefix: str,
    limit: int | None = None,
) -> Result[list[Row], StoreFault]:
    """Read the rows with a key prefix, page by page.

    :param limit: maximum number of rows, unlimited if omitted.
    """
    rows: list[Row] = []
    after = ''
    while limit is None or len(rows) < limit:
        answer = await table.scan(prefix, after, PAGE_SIZE)
        if isinstance(answer, Err):
            return answer
        rows.extend(answer.ok_value)
        if len(answer.ok_value) < PAGE_SIZE:
            break
        after = rows[-1].key
    return Ok(rows if limit is None else rows[:limit])


class UsageReporter:
    """Freezes and sends one window after another while it holds the lease.

    :param lease: lease on usage reports, acquired and renewed elsewhere.
    :param length: length of a window.
    :param grace: time after a window's end for daemons to write their rows.
    :ivar on_sent: called once per report, with the time since it was due.
    """

    def __init__(
        self,
        table: Table,
        reports: UsageReports,
        lease: Lease,
        clock: Clock,
        counters: Counters,
        length: timedelta,
        grace: timedelta,
    ) -> None:
        """Start without state; the progress is stored in the table."""
        self._table = table
        self._reports = reports
        self._lease = lease
        self._clock = clock
        self._counters = counters
        self._length = length
        self._grace = grace
        self.in_flight = InFlightCalls()
        self.on_sent: Callable[[timedelta], None] = _ignore_delay

    async def run(self) -> None:
        """Process due windows until cancelled."""
        while True:
            if not await self.run_once():
                await self._clock.sleep(POLL_INTERVAL)

    async def run_once(self) -> bool:
        """Send or freeze the next window that is due.

        :returns: whether something was done, so that more may be due.
        """
        if not self._lease.held:
            return False
        answer = await self._table.read(PROGRESS_KEY)
        if isinstance(answer, Err):
            return False
        row = answer.ok_value
        if row is None:
            return await self._initialise()
        progress = decode_json(row.content, UsageProgress)
        if progress.sent < progress.frozen:
            return await self._send(row, progress)
        window = name_next_window(progress.frozen, self._length)
        self._measure_delay(window)
        if (
            self._clock.now()
            < find_window_start(window) + self._length + self._grace
        ):
            return False
        return await self._freeze(row, progress, window)

    async def _initialise(self) -> bool:
        # Usage counted before the first lease holder must not be lost, so the
        # reports start with the window of the oldest row.
        rows = await scan_rows(self._table, 'usage/', 1)
        if isinstance(rows, Err):
            return False
        window = name_window(self._clock.now(), self._length)
        if rows.ok_value:
            oldest = rows.ok_value[0].key.split('/')[1]
            window = min(window, oldest)
        previous_window = name_window(
            find_window_start(window) - self._length, self._length
        )
        return await self._transact(
            (Condition(PROGRESS_KEY, ABSENT),),
            (
                build_progress_write(
                    UsageProgress(previous_window, previous_window)
                ),
            ),
        )

    async def _freeze(
        self,
        progress_row: Row,
        progress: UsageProgress,
        window: str,
    ) -> bool:
        if not await self._close(window):
            return False
        in_time = await scan_rows(self._table, f'usage/{window}/')
        late = await scan_rows(self._table, LATE_PREFIX, MAX_LATE_ROWS)
        if isinstance(in_time, Err) or isinstance(late, Err):
            return False
        conditions = [
            Condition(build_report_key(window), ABSENT),
            require_unchanged(PROGRESS_KEY, progress_row),
        ]
        writes = [build_progress_write(UsageProgress(window, progress.sent))]
        late_rows = []
        for late_row in late.ok_value:
            included = await self._include_late(late_row, conditions, writes)
            if isinstance(included, Err):
                return False
            late_rows.append(included.ok_value)
        content = sum_window(window, in_time.ok_value, late_rows)
        writes.append(
            Write(build_report_key(window), msgspec.json.encode(content))
        )
        frozen = await self._transact(tuple(conditions), tuple(writes))
        if frozen:
            self._counters.add('usage_windows_frozen')
            self._counters.add('usage_late_rows', len(late_rows))
            log.info('Usage window frozen.', window=window)
        return frozen

    async def _close(self, window: str) -> bool:
        key = build_closed_key(window)
        answer = await self._table.read(key)
        if isinstance(answer, Err):
            return False
        if answer.ok_value is not None:
            return True
        return await self._transact(
            (Condition(key, ABSENT),), (Write(key, b'{}'),)
        )

    async def _include_late(
        self,
        late_row: Row,
        conditions: list[Condition],
        writes: list[Write],
    ) -> Result[UsageRow, StoreFault]:
        row = decode_json(late_row.content, UsageRow)
        included_key = build_included_key(row.window, row.incarnation)
        included = await self._table.read(included_key)
        if isinstance(included, Err):
            return included
        in_time = await self._table.read(
            build_row_key(row.window, row.incarnation)
        )
        if isinstance(in_time, Err):
            return in_time
        reported = merge_entries(
            decode_entries(included.ok_value), decode_entries(in_time.ok_value)
        )
        merged = merge_entries(reported, index_entries(row.entries))
        conditions.append(require_unchanged(late_row.key, late_row))
        conditions.append(require_unchanged(included_key, included.ok_value))
        stored = UsageRow(row.window, row.incarnation, list_entries(merged))
        writes.append(Write(included_key, encode_row(stored)))
        writes.append(Write(late_row.key, None))
        unreported = subtract_entries(merged, reported)
        return Ok(
            UsageRow(row.window, row.incarnation, list_entries(unreported))
        )

    async def _send(self, progress_row: Row, progress: UsageProgress) -> bool:
        window = name_next_window(progress.sent, self._length)
        answer = await self._table.read(build_report_key(window))
        if isinstance(answer, Err) or answer.ok_value is None:
            return False
        report = FrozenReport(
            window, self._lease.token, answer.ok_value.content
        )
        sending = self._reports.report(report, lambda: self._lease.may_send)
        sent = await self.in_flight.run(sending)
        if isinstance(sent, Err):
            self._counters.add('usage_report_failures', problem=sent.err_value)
            if sent.err_value is OrderProblem.refused:
                log.error('Usage report refused.', window=window)
            return False
        log.info('Usage report accepted.', window=window)
        noted = await self._transact(
            (require_unchanged(PROGRESS_KEY, progress_row),),
            (build_progress_write(UsageProgress(progress.frozen, window)),),
        )
        if noted:
            self.on_sent(self._find_delay(window))
        return noted

    async def _transact(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
    ) -> bool:
        answer = await self._table.transact(
            Transaction((self._lease.fence_condition(), *conditions), writes)
        )
        return answer.is_ok() and answer.unwrap().applied

    def _measure_delay(self, window: str) -> None:
        delay = self._find_delay(window)
        self._counters.set('usage_behind_seconds', delay.total_seconds())

    def _find_delay(self, window: str) -> timedelta:
        due = find_window_start(window) + self._length + self._grace
        return max(timedelta(0), self._clock.now() - due)


def _ignore_delay(_: timedelta) -> None:
    """Ignore the delay while no callback is set."""


def build_progress_write(progress: UsageProgress) -> Write:
    """Build the write of the progress row."""
    return Write(PROGRESS_KEY, msgspec.json.encode(progress))


def sum_window(
    window: str,
    in_time: list[Row],
    late: list[UsageRow],
) -> UsageReportContent:
    """Sum up a closed window.

    :param in_time: rows of the daemons, which no longer change.
    :param late_row: figures of earlier windows that are in no report yet.
    """
    entries: UsageByKey = {}
    sources = []
    for row in in_time:
        entries = add_entries(entries, decode_entries(row))
        sources.append(row.key.rpartition('/')[2])
    return UsageReportContent(
        window,
        list_entries(entries),
        tuple(late),
        tuple(sorted(sources)),
    )
