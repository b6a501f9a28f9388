"""Simulation of daemons that count, replicate and report usage."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from quetzalcourse.coordination.leases.lease import Lease
from quetzalcourse.coordination.leases.leader_elector import LeaderElector
from quetzalcourse.coordination.usage.usage_counter import UsageCounter
from quetzalcourse.coordination.usage.usage_replication import UsageReplicator
from quetzalcourse.coordination.usage.usage_reports import UsageReporter
from quetzalcourse.coordination.usage.usage_rows import UsageRowStore
from quetzalcourse.standins.virtual_time import VirtualClock
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.engines import OrderProblem
from quetzalcourse.state.lease import LeaseTimings
from quetzalcourse.state.manifest import Upstream, UpstreamKind
from quetzalcourse.state.members import Member
from quetzalcourse.state.usage import (
    UsageFigures,
    UsageReportContent,
)
from quetzalcourse.tests.gates import SlowTable, draw_pause
from quetzalcourse.tests.peers import FakeMembers, FakeNetwork
from quetzalcourse.tests.tables import FakeStore

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from quetzalcourse.state.usage import FrozenReport

WINDOW_LENGTH = timedelta(seconds=60)
GRACE = timedelta(seconds=10)
REPLICATION_INTERVAL = timedelta(seconds=5)
LEASE_TIMINGS = LeaseTimings(
    timedelta(seconds=10), timedelta(seconds=2), timedelta(seconds=2)
)
FAILURE_DETECTION_SECONDS = 4
STORE_TIMEOUT_SECONDS = 2
ENGINE = Upstream('engine-1', UpstreamKind.engine, 'hall', '127.0.0.1:1', 4)
ACCOUNTS = ('readers', 'trainers', 'archive')


@dataclass(slots=True)
class ReceivedReport:
    """Report as billing received it."""

    time: float
    sender: str
    token: int
    window: str
    content: bytes


@dataclass(slots=True)
class FakeBilling:
    """Receives reports, some late and some without an answer."""

    source: random.Random
    received: list[ReceivedReport] = field(default_factory=list)

    async def receive(
        self,
        sender: str,
        report: FrozenReport,
        may_send: Callable[[], bool],
    ) -> Result[None, OrderProblem]:
        """Receive a report if its sender still may send it."""
        await asyncio.sleep(draw_pause(self.source, 3))
        if not may_send():
            return Err(OrderProblem.not_sent)
        loop = asyncio.get_running_loop()
        self.received.append(
            ReceivedReport(
                loop.time(), sender, report.token, report.window, report.content
            )
        )
        if self.source.random() < 0.2:
            return Err(OrderProblem.unanswered)
        return Ok(None)


class BillingClient:
    """Connection of one daemon to billing."""

    def __init__(self, billing: FakeBilling, sender: str) -> None:
        self._billing = billing
        self._sender = sender

    async def report(
        self,
        report: FrozenReport,
        may_send: Callable[[], bool],
    ) -> Result[None, OrderProblem]:
        """Send a report."""
        return await self._billing.receive(self._sender, report, may_send)


class Daemon:
    """Usage components of a daemon."""

    def __init__(self, simulation: UsageSimulation, name: str) -> None:
        self.member = Member(name, f'{name}-1', f'hall-{name[-1]}', '')
        clock = VirtualClock()
        table = SlowTable(
            simulation.store,
            STORE_TIMEOUT_SECONDS,
            lambda: draw_pause(simulation.source, simulation.longest_pause),
        )
        counters = Counters()
        self.members = FakeMembers(self.member, [self.member])
        self.counter = UsageCounter(
            clock, self.member.incarnation, simulation.length
        )
        self.replicator = UsageReplicator(
            self.counter,
            UsageRowStore(table),
            simulation.network.join(self.member),
            self.members,
            clock,
            counters,
            REPLICATION_INTERVAL,
        )
        lease = Lease(
            table, clock, 'lease/usage', self.member.incarnation, LEASE_TIMINGS
        )
        self.elector = LeaderElector(lease, self.members, clock, counters)
        self.reporter = UsageReporter(
            table,
            BillingClient(simulation.billing, self.member.incarnation),
            lease,
            clock,
            counters,
            simulation.length,
            GRACE,
        )
        self.tasks = [
            asyncio.create_task(work)
            for work in (
                self.replicator.run_replication(),
                self.replicator.run_storing(),
                self.elector.run(),
                self.reporter.run(),
            )
        ]

    def end(self) -> None:
        """Stop as a killed process does."""
        for task in self.tasks:
            task.cancel()


class UsageSimulation:
    """Store, billing and daemons, with the usage counted at each."""

    def __init__(
        self,
        source: random.Random,
        longest_pause: float = 3.0,
        length: timedelta = WINDOW_LENGTH,
    ) -> None:
        self.source = source
        self.longest_pause = longest_pause
        self.length = length
        self.store = FakeStore()
        self.network = FakeNetwork()
        self.billing = FakeBilling(source)
        self.daemons: dict[str, Daemon] = {}
        self.counted = 0
        self.at_risk = 0
        self._recent: dict[str, list[tuple[float, int]]] = {}
        self._started = 0

    def start(self) -> Daemon:
        """Start one more daemon."""
        self._started += 1
        name = f'vm-{self._started}'
        daemon = Daemon(self, name)
        self.daemons[name] = daemon
        self._recent[name] = []
        self.update_membership()
        return daemon

    def kill(self, name: str) -> None:
        """Kill a daemon; the others detect it after a while."""
        daemon = self.daemons.pop(name)
        daemon.end()
        self.network.leave(daemon.member)
        now = asyncio.get_running_loop().time()
        replication_seconds = REPLICATION_INTERVAL.total_seconds()
        self.at_risk += sum(
            tokens
            for time, tokens in self._recent[name]
            if time > now - replication_seconds
        )
        asyncio.get_running_loop().call_later(
            FAILURE_DETECTION_SECONDS, self.update_membership
        )

    async def stop(self, name: str) -> None:
        """Shut a daemon down gracefully."""
        daemon = self.daemons.pop(name)
        daemon.end()
        await daemon.replicator.flush()
        await daemon.elector.release()
        daemon.replicator.send()
        await asyncio.sleep(0)
        self.network.leave(daemon.member)
        self.update_membership()

    def update_membership(self) -> None:
        """Give every daemon the list of live daemons."""
        live = [daemon.member for daemon in self.daemons.values()]
        for daemon in self.daemons.values():
            daemon.members.change(live)

    def count(self, name: str) -> None:
        """Count a request at a daemon."""
        tokens = self.source.randrange(1, 500)
        account = self.source.choice(ACCOUNTS)
        self.daemons[name].counter.record(
            ENGINE, account, 'human', UsageFigures(7, tokens, 1, 20)
        )
        self.counted += tokens
        now = asyncio.get_running_loop().time()
        self._recent[name].append((now, tokens))

    def sum_reported(self) -> int:
        """Sum the generated tokens, each window's report once."""
        reports = {
            received.window: msgspec.json.decode(
                received.content, type=UsageReportContent
            )
            for received in self.billing.received
        }
        entries = [
            entry
            for report in reports.values()
            for entry in (
                *report.entries,
                *(entry for late in report.late for entry in late.entries),
            )
        ]
        return sum(entry.figures.generated_tokens for entry in entries)

    def count_conflicts(self) -> int:
        """Count windows reported with different figures."""
        contents_by_window: dict[str, set[bytes]] = {}
        for received in self.billing.received:
            contents_by_window.setdefault(received.window, set()).add(
                received.content
            )
        return sum(
            len(contents) > 1 for contents in contents_by_window.values()
        )

    def count_overlaps(self) -> int:
        """Count reports sent after one with a higher token."""
        tokens = [received.token for received in self.billing.received]
        return sum(
            later < earlier
            for earlier, later in zip(tokens, tokens[1:], strict=False)
        )
