"""Counts usage by time window on every daemon, and reports it from one."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

import msgspec
from result import Err

from quetzalcourse.coordination.feeds.wall_clock import EPOCH
from quetzalcourse.log import get_log
from quetzalcourse.state.rows import ABSENT, Condition, Transaction, Write

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.feeds.presence import Presence
    from quetzalcourse.coordination.leases.lease import Lease
    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

# Number of windows for which a daemon keeps counts; an older one was reported
# long ago, or its report would be too late to be of use.
MAX_WINDOWS = 5
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

    :param length: length of a window.
    :param on_count: called after each change of a count.
    """

    def __init__(
        self,
        clock: Clock,
        length: timedelta,
        on_count: Callable[[], None],
    ) -> None:
        """Initialise without counts."""
        self._clock = clock
        self._length = length
        self._on_count = on_count
        self._windows: dict[int, Counter[str]] = {}

    def find_current_window(self) -> int:
        """Compute the number of the current window."""
        return (self._clock.now() - EPOCH) // self._length

    def record(self, client_account: str) -> None:
        """Count a request that an upstream ran."""
        if not client_account:
            return
        window = self.find_current_window()
        self._windows.setdefault(window, Counter())[client_account] += 1
        while len(self._windows) > MAX_WINDOWS:
            self._windows.pop(min(self._windows))
        self._on_count()

    def restore(self, usage: dict[str, dict[str, int]]) -> None:
        """Add the counts of the previous run on the same VM."""
        for window, counts in usage.items():
            kept = self._windows.setdefault(int(window), Counter())
            kept.update(counts)

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the counts for the presence row of the daemon."""
        oldest = self.find_current_window() - MAX_WINDOWS
        return {
            str(window): dict(counts)
            for window, counts in self._windows.items()
            if window > oldest
        }


class WindowReporter:
    """Reports each window after its end, while this daemon holds the lease.

    The counts of a window are first written to the table, once and for all.
    Only the stored counts are sent, so that all reports of a window are
    identical, even if another daemon sends them again.
    """

    def __init__(
        self,
        presence: Presence,
        table: Table,
        reports: UsageReportSender,
        lease: Lease,
        clock: Clock,
        counters: Counters,
        length: timedelta,
        due: timedelta,
    ) -> None:
        """Start with the oldest window that may be due."""
        self._presence = presence
        self._table = table
        self._reports = reports
        self._lease = lease
        self._clock = clock
        self._counters = counters
        self._length = length
        self._due = due
        self._sent: set[int] = set()
        # Windows that ended before this run started may still be unreported:
        # the former lease holder may have failed.
        self._first_window = (clock.now() - EPOCH - due) // length

    async def run(self) -> None:
        """Report windows until the task is cancelled."""
        while True:
            await self._clock.sleep(REPORT_INTERVAL)
            if self._lease.may_send:
                await self._report_ended()

    async def _report_ended(self) -> None:
        now = self._clock.now() - EPOCH
        newest = (now - SETTLE_TIME) // self._length - 1
        oldest = (now - self._due - MAX_REPORT_DELAY) // self._length
        for window in range(max(oldest, self._first_window), newest + 1):
            if window not in self._sent and self._lease.may_send:
                await self._report(window)
        self._sent = {window for window in self._sent if window >= oldest}

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
        counts = self._sum(window)
        key = f'usage/{window}/frozen'
        answer = await self._table.transact(
            Transaction(
                (Condition(key, ABSENT),),
                (Write(key, msgspec.json.encode(counts)),),
            )
        )
        if isinstance(answer, Err):
            return None
        for row in answer.ok_value.conflicts:
            if row.key == key and row.content:
                counts = msgspec.json.decode(row.content, type=dict[str, int])
        return WindowReport(window, counts)

    def _sum(self, window: int) -> dict[str, int]:
        total: Counter[str] = Counter()
        for record in self._presence.records.values():
            total.update(record.usage.get(str(window), {}))
        return dict(total)
