"""Evacuation of data centres."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from quetzalcourse.coordination.batches.scoring import choose_upstream
from quetzalcourse.coordination.forwarding.cold_start import NoColdStartLimits
from quetzalcourse.coordination.forwarding.evacuation import Evacuations
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.upstream import Upstream
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.clocks import FakeClock

NEAR = PoolMember('near', 'app', '10.0.0.1:80', 'hall-a', 6)
FAR = PoolMember('far', 'app', '10.0.0.2:80', 'hall-b', 6)
COLD_FOR = timedelta(seconds=3)


class LongColdStarts(NoColdStartLimits):
    """Policy with a fixed cold-start duration."""

    def find_duration(self, _: Upstream) -> timedelta:
        """Return the same duration for every upstream."""
        return COLD_FOR


@pytest.fixture
def pool() -> Pool:
    """Build a pool with an upstream in each of two data centres."""
    built = Pool('hall-a', FakeClock(), Counters())
    built.cold_starts = LongColdStarts()
    built.replace(NEAR)
    built.replace(FAR)
    return built


def test_evacuated_data_centre_gets_no_requests(pool: Pool) -> None:
    """Guards against work sent to a data centre that is about to lose power."""
    evacuations = Evacuations(pool, Counters())
    evacuations.on_request('hall-a')
    assert pool.choose('app') is pool.find('far')
    evacuations.on_request('hall-b')
    assert pool.choose('app') is None
    evacuations.on_removal('hall-a')
    assert pool.choose('app') is pool.find('near')


def test_upstream_registered_during_evacuation_gets_no_requests(
    pool: Pool,
) -> None:
    """Guards against a restarted upstream that escapes the evacuation."""
    evacuations = Evacuations(pool, Counters())
    evacuations.on_request('hall-a')
    pool.replace(replace(NEAR, started=2))
    pool.replace(replace(NEAR, name='new', address='10.0.0.3:80'))
    pool.replace(replace(FAR, data_centre='hall-a'))
    assert pool.choose('app') is None


def test_upstreams_are_cold_after_evacuation(pool: Pool) -> None:
    """Guards against a burst at upstreams restarted during the evacuation."""
    evacuations = Evacuations(pool, Counters())
    evacuations.on_removal('hall-a')
    near = pool.find('near')
    assert near is not None
    assert not near.is_cold(FakeClock().elapsed())
    evacuations.on_request('hall-a')
    evacuations.on_removal('hall-a')
    assert near.is_cold(FakeClock().elapsed())
    assert not near.is_cold(FakeClock().elapsed() + COLD_FOR)


def test_scoring_calls_avoid_evacuated_data_centre(pool: Pool) -> None:
    """Guards against scoring calls that ignore an evacuation."""
    Evacuations(pool, Counters()).on_request('hall-a')
    upstreams = pool.list_service('app')
    now = FakeClock().elapsed()
    assert choose_upstream(upstreams, now, '') is pool.find('far')
