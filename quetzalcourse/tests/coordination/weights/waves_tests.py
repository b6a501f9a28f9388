"""Waves respect capacity and rate limits, and retry failed engines."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalcourse.coordination.weights.waves import Wave
from quetzalcourse.state.waves import EngineView, WaveLimits

SECOND = timedelta(seconds=1)
PLAN = WaveLimits(0.75, 2.0, timedelta(seconds=10))


def build_engines(count: int) -> list[EngineView]:
    return [EngineView(f'engine-{index:03d}', 8, 1) for index in range(count)]


@pytest.mark.parametrize(
    ('count', 'expected'),
    [(1, 1), (2, 1), (4, 1), (8, 2), (100, 3)],
)
def test_first_wave_fits_spare_capacity(count: int, expected: int) -> None:
    wave = Wave(2, PLAN)
    engines = build_engines(count)
    swaps = wave.choose_swaps(timedelta(0), engines)
    swaps += wave.choose_swaps(SECOND, engines)
    assert len(swaps) == expected


def test_failed_swap_is_retried_after_others() -> None:
    # An engine accepts the order and keeps its old weights. If it were
    # retried first, the others would wait for it in every wave.
    wave = Wave(2, replace(PLAN, serving_share=0.5, loads_per_second=1.0))
    engines = build_engines(2)
    first = wave.choose_swaps(timedelta(0), engines)
    assert [swap.engine for swap in first] == ['engine-000']
    assert wave.choose_swaps(SECOND * 5, engines) == []
    second = wave.choose_swaps(SECOND * 11, engines)
    assert [swap.engine for swap in second] == ['engine-001']
    engines[1] = replace(engines[1], weight_version=2)
    third = wave.choose_swaps(SECOND * 12, engines)
    assert [(swap.engine, swap.attempt) for swap in third] == [
        ('engine-000', 2)
    ]
    assert wave.failed == 1


def test_refused_order_frees_its_slots() -> None:
    # An engine refuses the order. The others must not wait for its timeout.
    wave = Wave(2, replace(PLAN, serving_share=0.5, loads_per_second=1.0))
    engines = build_engines(2)
    (swap,) = wave.choose_swaps(timedelta(0), engines)
    wave.mark_timed_out(swap)
    (other,) = wave.choose_swaps(SECOND, engines)
    assert other.engine == 'engine-001'


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(st.integers(1, 32), min_size=2, max_size=40),
    st.floats(0.3, 0.95),
    st.floats(0.5, 8.0),
    st.lists(st.integers(0, 12), min_size=1, max_size=40),
)
def test_waves_respect_limits_and_reach_every_engine(
    slots: list[int],
    share: float,
    rate: float,
    delays: list[int],
) -> None:
    # Engines load at once or take longer than the timeout. In every case the
    # required share of slots must keep serving and all engines must load.
    plan = WaveLimits(share, rate, timedelta(seconds=10))
    wave = Wave(2, plan)
    versions = dict.fromkeys(range(len(slots)), 1)
    done: dict[int, int] = {}
    started: list[int] = []
    for second in range(2000):
        for index, at in done.items():
            if at <= second:
                versions[index] = 2
        views = [
            EngineView(str(index), slots[index], versions[index])
            for index in versions
        ]
        for swap in wave.choose_swaps(SECOND * second, views):
            index = int(swap.engine)
            delay = delays[(index + swap.attempt) % len(delays)]
            if delay < 10 or swap.attempt > 3:
                done[index] = second + min(delay, 9)
            started.append(second)
        loading = [index for index, at in done.items() if versions[index] == 1]
        out = sum(slots[index] for index in loading)
        assert out <= sum(slots) * (1 - share) or len(loading) <= 1
        recent = [at for at in started if at > second - 10]
        assert len(recent) <= rate * 10 + max(1.0, rate)
    assert set(versions.values()) == {2}
