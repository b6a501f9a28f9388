"""Tests of the estimated time of an item."""

from __future__ import annotations

from datetime import timedelta

import pytest

from quetzalcourse.coordination.scaling.item_times import (
    MIN_ITEMS,
    MIN_RUNNING_TIME,
    ItemTimeEstimator,
)

TICK = timedelta(seconds=0.25)


def observe(
    estimator: ItemTimeEstimator, seconds: float, busy: int, ended: int
) -> None:
    """Record some seconds of the same load.

    :param ended: items that end in each tick.
    """
    for _ in range(int(seconds / TICK.total_seconds())):
        estimator.observe(TICK, busy, ended)


def test_time_is_unknown_with_few_items() -> None:
    estimator = ItemTimeEstimator()
    estimator.observe(MIN_RUNNING_TIME, 8, MIN_ITEMS - 1)
    assert estimator.mean is None


def test_start_of_a_step_with_its_long_items_tells_no_mean() -> None:
    estimator = ItemTimeEstimator()
    observe(estimator, 3, busy=80, ended=20)
    assert estimator.mean is None
    observe(estimator, 3, busy=0, ended=0)
    assert estimator.mean is None


def test_mean_time_follows_from_slots_in_use_and_ended_items() -> None:
    estimator = ItemTimeEstimator()
    observe(estimator, 4, busy=80, ended=40)
    assert estimator.mean is not None
    assert estimator.mean.total_seconds() == pytest.approx(0.5)


def test_idle_time_between_steps_does_not_change_the_mean() -> None:
    estimator = ItemTimeEstimator()
    observe(estimator, 4, busy=80, ended=40)
    observe(estimator, 2, busy=0, ended=0)
    assert estimator.mean is not None
    assert estimator.mean.total_seconds() == pytest.approx(0.5)


def test_mean_follows_upstreams_that_turn_slow() -> None:
    estimator = ItemTimeEstimator()
    observe(estimator, 20, busy=80, ended=40)
    observe(estimator, 20, busy=80, ended=10)
    assert estimator.mean is not None
    assert estimator.mean.total_seconds() > 1
