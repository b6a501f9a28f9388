"""Tests of the sums of service-level events in the platform's table."""

from __future__ import annotations

from datetime import timedelta

import pytest

from quetzalcourse.coordination.service_levels.daily_event_sums import (
    DailySumsWriter,
    read_sums,
)
from quetzalcourse.coordination.service_levels.service_levels import (
    EVENTS_METRIC,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.manifest import ServiceLevel
from quetzalcourse.state.service_levels import EventCount
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.tables import FakeStore

DAY = timedelta(days=1)


def make_level(days: int) -> ServiceLevel:
    """Build a service level with a period."""
    return ServiceLevel(
        'answered', 'human_success', 0.99, None, timedelta(days=days)
    )


def count_event(counters: Counters, outcome: str, amount: int = 1) -> None:
    """Count events of one account."""
    counters.add(
        EVENTS_METRIC,
        amount,
        service_level='answered',
        client_account='readers',
        outcome=outcome,
    )


async def read_total(store: FakeStore, clock: FakeClock, days: int) -> object:
    """Return the total that a report would show."""
    answer = await read_sums(store, [make_level(days)], clock.now().date())
    return answer.unwrap()['answered'].client_accounts['readers']


async def test_events_of_replaced_daemon_are_kept() -> None:
    # A VM is replaced. If its counts were lost with it, a morning's outage
    # would be missing from the error budget in the evening.
    store, clock = FakeStore(), FakeClock()
    for incarnation, amount in (('vm-1-a', 3), ('vm-1-b', 4)):
        counters = Counters()
        writer = DailySumsWriter(store, clock, counters, incarnation)
        count_event(counters, 'bad', amount)
        await writer.flush()
    assert await read_total(store, clock, 28) == EventCount(0, 7)


@pytest.mark.parametrize('fault', ['not_applied', 'lost_before', 'lost_after'])
async def test_lost_answer_counts_nothing_twice(fault: str) -> None:
    # The table's answer is lost, whether or not the write took effect. Events
    # added twice would overstate the burn rate.
    store, clock, counters = FakeStore(), FakeClock(), Counters()
    writer = DailySumsWriter(store, clock, counters, 'vm-1-a')
    count_event(counters, 'good', 5)
    store.write_faults.append(fault)
    await writer.flush()
    await writer.flush()
    assert await read_total(store, clock, 28) == EventCount(5, 0)


@pytest.mark.parametrize(
    ('days', 'expected'),
    [(1, EventCount(2, 0)), (2, EventCount(3, 0)), (28, EventCount(3, 1))],
)
async def test_day_counts_only_within_its_period(
    days: int,
    expected: EventCount,
) -> None:
    store, clock, counters = FakeStore(), FakeClock(), Counters()
    writer = DailySumsWriter(store, clock, counters, 'vm-1-a')
    count_event(counters, 'bad')
    await writer.flush()
    clock.move(DAY)
    await writer.flush()
    count_event(counters, 'good')
    await writer.flush()
    clock.move(DAY)
    await writer.flush()
    count_event(counters, 'good', 2)
    await writer.flush()
    assert await read_total(store, clock, days) == expected


async def test_outage_over_midnight_keeps_events() -> None:
    # The store is down at midnight. The old day's events must not be lost, and
    # must not be counted in the new day as well.
    store, clock, counters = FakeStore(), FakeClock(), Counters()
    writer = DailySumsWriter(store, clock, counters, 'vm-1-a')
    count_event(counters, 'bad', 2)
    store.down = True
    clock.move(DAY)
    await writer.flush()
    store.down = False
    await writer.flush()
    count_event(counters, 'good')
    await writer.flush()
    assert await read_total(store, clock, 28) == EventCount(1, 2)
    assert await read_total(store, clock, 1) == EventCount(1, 0)


async def test_unchanged_sums_are_not_written() -> None:
    store, clock, counters = FakeStore(), FakeClock(), Counters()
    writer = DailySumsWriter(store, clock, counters, 'vm-1-a')
    count_event(counters, 'good')
    await writer.flush()
    await writer.flush()
    assert store.writes == 1
