"""Usage is reported once, unchanged, and lost only with its daemon."""

from __future__ import annotations

import asyncio
import random
from datetime import timedelta

import msgspec
import pytest
from hypothesis import given, settings, strategies

from quetzalcourse.coordination.usage.usage_counter import UsageCounter
from quetzalcourse.coordination.usage.usage_rows import UsageRowStore
from quetzalcourse.standins.virtual_time import run_virtual
from quetzalcourse.state.usage import (
    UsageEntry,
    UsageFigures,
    UsageKey,
    UsageReportContent,
    UsageRow,
)
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.tables import FakeStore
from quetzalcourse.tests.usage_simulation import (
    ENGINE,
    WINDOW_LENGTH,
    UsageSimulation,
)

KEY = UsageKey('readers', 'human', 'engine')


def build_row(tokens: int, window: str = '20260101T000000Z') -> UsageRow:
    """Build a row with one entry."""
    figures = UsageFigures(generated_tokens=tokens, requests=1)
    return UsageRow(window, 'vm-1-a', (UsageEntry(KEY, figures),))


async def run_world(seed: int, events: int = 40) -> UsageSimulation:
    """Run daemons under load and faults, then let them recover."""
    source = random.Random(seed)
    world = UsageSimulation(source)
    for _ in range(4):
        world.start()
    for _ in range(events):
        await asyncio.sleep(source.uniform(0.5, 9))
        world.store.down = source.random() < 0.1
        for _ in range(source.randrange(12)):
            world.count(source.choice(list(world.daemons)))
        event = source.random()
        if event < 0.06 and len(world.daemons) > 2:
            world.kill(source.choice(list(world.daemons)))
        elif event < 0.12 and len(world.daemons) > 2:
            await world.stop(source.choice(list(world.daemons)))
        elif event < 0.3 and len(world.daemons) < 6:
            world.start()
    world.store.down = False
    await asyncio.sleep(6 * WINDOW_LENGTH.total_seconds())
    for daemon in world.daemons.values():
        daemon.end()
    return world


@given(seed=strategies.integers(0, 10**6))
@settings(derandomize=True, max_examples=12, deadline=None)
def test_fault_schedule_never_overreports_usage(seed: int) -> None:
    # Daemons die, stop and start while the store is slow, down, and loses
    # answers, and billing loses answers too. No account may be billed twice,
    # and no window be reported with two different figures.
    world = run_virtual(run_world(seed))
    assert world.count_conflicts() == 0
    assert world.count_overlaps() == 0
    reported = world.sum_reported()
    assert reported <= world.counted
    assert reported >= world.counted - world.at_risk


@pytest.mark.parametrize('fault', ['', 'lost_before', 'lost_after'])
async def test_row_keeps_the_largest_figures(fault: str) -> None:
    # A peer that considers a paused daemon dead stores an old copy, before or
    # after the daemon itself. Answers of the store may be lost.
    store = FakeStore()
    rows = UsageRowStore(store)
    store.write_faults.append(fault)
    for tokens in (9, 9, 4):
        await rows.store(build_row(tokens))
    row = store.table.rows['usage/20260101T000000Z/vm-1-a']
    found = msgspec.json.decode(row.content, type=UsageRow)
    assert found == build_row(9)


def test_late_usage_is_reported_once_in_next_report() -> None:
    # A partitioned daemon stores its window after the report was frozen. Its
    # usage would be in no report, or in two reports if the part that was
    # reported in time were counted again.
    async def run() -> list[UsageReportContent]:
        world = UsageSimulation(random.Random(1), longest_pause=0.1)
        daemon = world.start()
        daemon.counter.record(
            ENGINE, 'readers', 'human', UsageFigures(generated_tokens=5)
        )
        window = daemon.counter.list_windows()[0]
        early = daemon.counter.read(window)
        await asyncio.sleep(100)
        rows = UsageRowStore(world.store)
        entry = UsageEntry(KEY, UsageFigures(generated_tokens=8))
        assert await rows.store(UsageRow(window, early.incarnation, (entry,)))
        assert await rows.store(UsageRow(window, early.incarnation, (entry,)))
        await asyncio.sleep(150)
        assert await rows.store(UsageRow(window, early.incarnation, (entry,)))
        await asyncio.sleep(100)
        daemon.end()
        windows = {report.window: report for report in world.billing.received}
        return [
            msgspec.json.decode(report.content, type=UsageReportContent)
            for _, report in sorted(windows.items())
        ]

    reports = run_virtual(run())
    assert [
        entry.figures.generated_tokens
        for report in reports
        for entry in report.entries
    ] == [5]
    late = [
        entry.figures.generated_tokens
        for report in reports
        for row in report.late
        for entry in row.entries
    ]
    assert late == [3]


def test_calendar_set_back_loses_no_usage() -> None:
    # The VM's calendar is set back across the end of a window that was
    # stored already. A count that restarted there would stay below the
    # stored one and never be reported.
    clock = FakeClock()
    counter = UsageCounter(clock, 'vm-1-a', timedelta(seconds=60))
    figures = UsageFigures(generated_tokens=3)
    clock.move(timedelta(seconds=60))
    counter.record(ENGINE, 'readers', 'human', figures)
    clock.move(timedelta(seconds=-60))
    counter.record(ENGINE, 'readers', 'human', figures)
    (window,) = counter.list_windows()
    (entry,) = counter.read(window).entries
    assert entry.figures.generated_tokens == 6


async def collect_delays(outage: timedelta) -> list[timedelta]:
    """Report several windows, with the store down for a while."""
    world = UsageSimulation(random.Random(5), longest_pause=0.1)
    daemon = world.start()
    delays: list[timedelta] = []
    daemon.reporter.on_sent = delays.append
    (name,) = world.daemons
    for round_number in range(6):
        world.count(name)
        world.store.down = bool(outage) and round_number == 2
        pause = outage if world.store.down else WINDOW_LENGTH
        await asyncio.sleep(pause.total_seconds())
    daemon.end()
    return delays


@pytest.mark.parametrize('windows', [0, 4])
def test_on_sent_receives_delay_of_each_report(windows: int) -> None:
    # The store is down while windows end. The service level of reports must
    # count their delay.
    delays = run_virtual(collect_delays(WINDOW_LENGTH * windows))
    assert len(delays) >= 2
    late = [delay for delay in delays if delay >= WINDOW_LENGTH]
    assert bool(late) is bool(windows)
