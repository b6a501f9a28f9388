"""Pace of upstreams that others slow, and that tell so."""

from __future__ import annotations

from datetime import timedelta

import pytest

from quetzalcourse.coordination.forwarding.pace import UpstreamPace

STEP = timedelta(milliseconds=10)
PULSE = timedelta(milliseconds=600)
USUAL = 0.03


def stream(
    pace: UpstreamPace, seconds: float, start: timedelta, duration: timedelta
) -> timedelta:
    """Record the events of several streams, and return the end."""
    now = start
    while now < start + duration:
        pace.on_token_latency(seconds, now)
        now += STEP
    return now


@pytest.mark.parametrize(
    ('duration', 'lasting'),
    [(PULSE, USUAL), (timedelta(seconds=1), 2.5 * USUAL)],
)
def test_only_a_lasting_slowdown_changes_the_long_run_speed(
    duration: timedelta, lasting: float
) -> None:
    # A neighbour slows an upstream for half a second, or for good.
    pace = UpstreamPace()
    now = stream(pace, USUAL, timedelta(0), timedelta(seconds=2))
    now = stream(pace, 2.5 * USUAL, now, duration)
    assert pace.token_latency == pytest.approx(lasting)
    assert pace.estimate_slowdown(now) >= (2 if duration == PULSE else 0.9)


def test_reported_slowdown_counts_while_it_is_likely_to_last() -> None:
    # An upstream reports 250 % once. The work of half a second that starts now
    # is slowed less, and what starts a second later is hardly slowed.
    pace = UpstreamPace()
    pace.on_report(1, timedelta(0))
    now = timedelta(seconds=1)
    pace.on_report(2.5, now)
    half = timedelta(seconds=0.5)
    assert pace.estimate_slowdown(now) == pytest.approx(2.5)
    assert 1.5 < pace.estimate_slowdown(now, half) < 2
    assert pace.estimate_slowdown(2 * now) == pytest.approx(1, abs=0.1)


@pytest.mark.parametrize('lie', [0.01, 0.5, 100.0])
def test_report_that_never_changes_counts_as_the_usual_pace(lie: float) -> None:
    # An upstream reports the same figure for ever, whatever its pace.
    pace = UpstreamPace()
    for number in range(200):
        pace.on_report(lie, number * STEP)
    assert pace.estimate_slowdown(200 * STEP) == pytest.approx(1, abs=0.05)


def test_false_report_is_bounded() -> None:
    # An upstream reports 1 % at times, and draws no more than work that is
    # expected to take half as long.
    pace = UpstreamPace()
    pace.on_report(1, timedelta(0))
    now = timedelta(seconds=1)
    pace.on_report(0.01, now)
    assert pace.estimate_slowdown(now) == 0.5
