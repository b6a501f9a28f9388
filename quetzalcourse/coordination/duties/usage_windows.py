"""Counts usage by time window on every daemon, and reports it from one."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

import msgspec
from result import Err

from quetzalcourse.coordination.duties.pending_counts import PendingCounts
from quetzalcourse.coordination.duties.window_rows import WindowRows
from quetzalcourse.coordination.feeds.wall_clock import EPOCH
from quetzalcourse.log import get_log
from quetzalcourse.state.decoding import decode_json
from quetzalcourse.state.rows import ABSENT, Condition, Transaction, Write

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.feeds.presence import Presence
    from quetzalcourse.coordination.feeds.wall_clock import WallClockEstimate
    from quetzalcourse.coordination.leases.lease import Lease
    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.state.counters import Counters

# Time for which a daemon keeps the counts of a window: as long as a report may
# wait for them, and until a daemon has restarted after that.
KEPT_TIME = timedelta(seconds=30)
# Counts are published within a quarter of a second of the request, and a slow
# write takes another third of a second.
SETTLE_TIME = timedelta(seconds=1.5)
REPORT_INTERVAL = timedelta(milliseconds=250)
# A report that is overdue by more than this is abandoned.
MAX_REPORT_DELAY = timedelta(seconds=30)
log = get_log('usage')


@dataclass(frozen=True, slots=True)
class WindowReport:
    """Counts of one window, identical for every sender.

    :param number: number of the window since the epoch.
    :param counts: requests by client account.
    """

    number: int
    counts: dict[str, int]


class UsageReportSender(Protocol):
    """Sends usage reports to the platform."""

    async def send(self, report: WindowReport, token: int) -> bool:
        """Send a report.

        :param token: fencing token of the sender's lease.
        :returns: whether it was certainly accepted.
        """


class WindowCounts:
    """Counts of the requests that this daemon served, by window and account.

    :param clock: tells windows apart, once the daemons agree on the time.
    :param length: length of a window.
    :param on_count: called after each change of a count.
    """

    def __init__(
        self,
        clock: WallClockEstimate,
        length: timedelta,
        on_count: Callable[[], None],
    ) -> None:
        """Initialise without counts."""
        self._clock = clock
        self._length = length
        self._max_windows = KEPT_TIME // length + 1
        self._on_count = on_count
        self._windows: dict[int, Counter[str]] = {}
        self._pending = PendingCounts(clock, KEPT_TIME)

    def find_current_window(self) -> int:
        """Compute the number of the current window."""
        return (self._clock.now() - EPOCH) // self._length

    def record(self, client_account: str) -> None:
        """Count a request that an upstream ran."""
        if not client_account:
            return
        self._pending.add(client_account)
        if self._clock.agreed:
            self._assign_pending()
        self._on_count()

    def find_counted_window(self) -> int:
        """Return the window in progress, 0 while it is not known for certain.

        All requests of earlier windows have been counted.
        """
        return self.find_current_window() if self._clock.agreed else 0

    def restore(self, usage: dict[str, dict[str, int]]) -> None:
        """Add the counts of the previous run on the same VM."""
        for window, counts in usage.items():
            kept = self._windows.setdefault(int(window), Counter())
            kept.update(counts)

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the counts for the presence row of the daemon.

        While the daemons do not agree on the time, requests are listed in the
        windows that this daemon supposes, for its next run to take over.
        """
        if self._clock.agreed:
            self._assign_pending()
        oldest = self.find_current_window() - self._max_windows
        return {
            str(window): dict(counts)
            for window, counts in self._list_windows().items()
            if window > oldest or not self._clock.agreed
        }

    def _assign_pending(self) -> None:
        self._windows = self._list_windows()
        self._pending.clear()
        while len(self._windows) > self._max_windows:
            self._windows.pop(min(self._windows))

    def _list_windows(self) -> dict[int, Counter[str]]:
        """List all counts, with the pending ones in their likely windows."""
        windows = self._windows.copy()
        now = self._clock.now() - EPOCH
        for age, client_account, count in self._pending.list_by_age():
            window = (now - age) // self._length
            counts = windows.get(window, Counter())
            windows[window] = counts + Counter({client_account: count})
        return windows


class WindowReporter:
    """Reports each window after its end, while this daemon holds the lease.

    The counts of a window are first written to the table, once and for all.
    Only the stored counts are sent, so that all reports of a window are
    identical, even if another daemon sends them again. They are therefore
    written only when the daemons agree on the time and the rows of all daemons
    cover the window.
    """

    def __init__(
        self,
        presence: Presence,
        table: Table,
        reports: UsageReportSender,
        lease: Lease,
        clock: WallClockEstimate,
        counters: Counters,
        length: timedelta,
        due: timedelta,
    ) -> None:
        """Start without a report."""
        self._rows = WindowRows(presence, clock, counters, length, due)
        self._table = table
        self._reports = reports
        self._lease = lease
        self._clock = clock
        self._counters = counters
        self._length = length
        self._due = due
        self._sent: set[int] = set()
        self._started_at = clock.elapsed()

    async def run(self) -> None:
        """Report windows until the task is cancelled."""
        while True:
            await self._clock.sleep(REPORT_INTERVAL)
            if self._lease.may_send:
                await self._report_ended()

    async def _report_ended(self) -> None:
        if not self._clock.agreed:
            return
        now = self._clock.now() - EPOCH
        newest = (now - SETTLE_TIME) // self._length - 1
        oldest = (now - self._due - MAX_REPORT_DELAY) // self._length
        first = max(oldest, self._find_first_window(now))
        for window in range(first, newest + 1):
            if window not in self._sent and self._may_report(window):
                await self._report(window)
        self._sent = {window for window in self._sent if window >= oldest}

    def _find_first_window(self, now: timedelta) -> int:
        """Find the oldest window that may be due.

        Windows that ended before this run started may still be unreported: the
        former lease holder may have failed.
        """
        age = self._clock.elapsed() - self._started_at
        return (now - age - self._due) // self._length

    def _may_report(self, window: int) -> bool:
        return self._lease.may_send and self._rows.cover(window)

    async def _report(self, window: int) -> None:
        report = await self._freeze(window)
        if report is None or not self._lease.may_send:
            return
        taken = await self._reports.send(report, self._lease.token)
        self._counters.add('usage_reports', taken=str(taken))
        log.info(
            'Sent a usage report.',
            window=window,
            requests=sum(report.counts.values()),
            taken=taken,
            token=self._lease.token,
        )
        if taken:
            self._sent.add(window)

    async def _freeze(self, window: int) -> WindowReport | None:
        counts = self._rows.sum_counts(window)
        key = f'usage/{window}/frozen'
        answer = await self._table.transact(
            Transaction(
                (Condition(key, ABSENT),),
                (Write(key, msgspec.json.encode(counts)),),
            )
        )
        if isinstance(answer, Err):
            return None
        if answer.ok_value.applied:
            self._rows.record_missing(window)
        for row in answer.ok_value.conflicts:
            if row.key == key and row.content:
                counts = decode_json(row.content, dict[str, int])
        return WindowReport(window, counts)
