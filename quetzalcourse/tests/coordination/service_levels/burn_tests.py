"""Tests of burn rates, budgets and alerts against values computed by hand."""

from __future__ import annotations

from datetime import timedelta

import pytest

from quetzalcourse.coordination.service_levels.burn import (
    Alert,
    LevelEvents,
    compute_burn,
    find_worst_account,
    choose_alert,
)
from quetzalcourse.coordination.service_levels.service_levels import (
    ServiceLevelTracker,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.manifest import Manifest, ServiceLevel
from quetzalcourse.state.service_levels import (
    EventCount,
    Indicator,
    Window,
)
from quetzalcourse.tests.clocks import FakeClock

LEVEL = ServiceLevel(
    'readers',
    'human_latency',
    0.99,
    timedelta(milliseconds=200),
    timedelta(days=28),
)


def make_rates(short: float, long: float) -> dict[Window, float]:
    """Build rates with one value for short windows and one for long windows."""
    return {
        Window.five_minutes: short,
        Window.half_hour: short,
        Window.hour: long,
        Window.six_hours: long,
    }


@pytest.mark.parametrize(
    ('good', 'bad', 'left'),
    [
        (1000, 0, 1.0),
        (995, 5, 0.5),
        (990, 10, 0.0),
        (980, 20, -1.0),
        (0, 0, 1.0),
    ],
)
def test_budget_left_follows_share_of_bad_events(
    good: int, bad: int, left: float
) -> None:
    events = LevelEvents(client_accounts={'a': EventCount(good, bad)})
    assert compute_burn(LEVEL, events).budget_left == pytest.approx(left)


def test_rates_are_computed_per_window() -> None:
    events = LevelEvents()
    events.add_window(Window.hour, EventCount(90, 10))
    events.add_window(Window.hour, EventCount(100, 0))
    burn = compute_burn(LEVEL, events)
    assert burn.rates[Window.hour] == pytest.approx(5.0)
    assert burn.rates[Window.five_minutes] == 0


@pytest.mark.parametrize(
    ('short', 'long', 'alert'),
    [
        (20, 20, Alert.page),
        (20, 14.3, Alert.ticket),
        (5.9, 20, Alert.quiet),
        (20, 1, Alert.quiet),
        (6, 6, Alert.ticket),
        (0, 0, Alert.quiet),
    ],
)
def test_alert_needs_both_windows(
    short: float,
    long: float,
    alert: Alert,
) -> None:
    # A brief spike shows in the short window only, and an outage that has ended
    # in the long window only. In either case an operator could do nothing.
    assert choose_alert(make_rates(short, long)) is alert


def test_worst_account_has_largest_bad_share() -> None:
    accounts = {
        'large': EventCount(900, 90),
        'small': EventCount(1, 1),
        'silent': EventCount(0, 0),
    }
    assert find_worst_account(accounts) == 'small'


def test_old_events_leave_their_windows() -> None:
    clock = FakeClock()
    counters = Counters()
    levels = ServiceLevelTracker(clock, counters)
    levels.on_manifest(Manifest(service_levels={LEVEL.name: LEVEL}))
    slow = timedelta(seconds=1)
    levels.observe(Indicator.human_latency, 'a', slow)
    clock.move(timedelta(minutes=10))
    levels.observe(Indicator.human_latency, 'a', timedelta(milliseconds=200))
    levels.publish()
    found = {
        (window, outcome): counters.read(
            'service_level_window_events',
            service_level=LEVEL.name,
            window=window.value,
            outcome=outcome,
        )
        for window in (Window.five_minutes, Window.hour)
        for outcome in ('good', 'bad')
    }
    assert found == {
        (Window.five_minutes, 'good'): 1,
        (Window.five_minutes, 'bad'): 0,
        (Window.hour, 'good'): 1,
        (Window.hour, 'bad'): 1,
    }
