"""Tests of the upstreams and timeouts of scoring calls."""

from __future__ import annotations

from datetime import timedelta

import pytest

from quetzalcourse.coordination.batches.item_run import ItemRun, ItemState
from quetzalcourse.coordination.batches.scoring import (
    choose_upstream,
    compute_timeout,
    has_capacity,
)
from quetzalcourse.coordination.forwarding.attempt_timeouts import (
    AttemptTimeouts,
)
from quetzalcourse.coordination.forwarding.upstream import Upstream
from quetzalcourse.state.batches import BatchItem, PartialText, ScoringCall
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.state.routing import Route, RouteKind, Target

NOW = timedelta(seconds=100)
SLOTS = 6


def build_upstream(
    name: str,
    running: int = 0,
    *,
    leaving: bool = False,
) -> Upstream:
    """Build an upstream of a plain service."""
    member = PoolMember(name, 'app', f'{name}:1', 'hall', SLOTS, leaving)
    return Upstream(member, running=running)


def build_route(target: int, timeout: int) -> Route:
    """Build a route.

    :param target: target latency in milliseconds.
    :param timeout: in milliseconds.
    """
    return Route(
        'r',
        'verse.example',
        '/score/',
        RouteKind.idempotent,
        timedelta(milliseconds=timeout),
        timedelta(milliseconds=target),
        1,
        (Target('app', 1),),
        2,
    )


def test_burst_of_scores_leaves_slots_to_humans() -> None:
    # Sixty texts end at about the same time and need scores. If they could use
    # every slot of the service, a human's lookup would queue behind them.
    upstreams = [build_upstream(f's-{number}') for number in range(4)]
    placed = 0
    for _ in range(60):
        chosen = choose_upstream(upstreams, NOW, '')
        if chosen is not None:
            chosen.running += 1
            placed += 1
    assert placed == 16
    assert {one.running for one in upstreams} == {4}


@pytest.mark.parametrize(
    ('running', 'others', 'age', 'room'),
    [
        (0, 0, 0.0, True),
        (3, 0, 0.0, True),
        (4, 0, 0.0, False),
        (1, 3, 0.0, False),
        (1, 3, 5.0, True),
    ],
)
def test_capacity_counts_requests_of_other_daemons(
    running: int,
    others: int,
    age: float,
    room: bool,
) -> None:
    """Reports of other daemons count until they are outdated."""
    upstream = build_upstream('s', running)
    upstream.other_requests = others
    upstream.other_requests_at = NOW - timedelta(seconds=age)
    assert has_capacity(upstream, NOW) is room


def test_single_slot_upstream_takes_a_scoring_call() -> None:
    """The share of a single slot is still one call."""
    upstream = Upstream(PoolMember('s', 'app', 's:1', 'hall', 1))
    assert has_capacity(upstream, NOW)


def test_refusing_upstream_is_not_chosen() -> None:
    # A full server refuses the call. An immediate retry would be refused too,
    # and each refusal costs the server time.
    upstream = build_upstream('s')
    upstream.unavailable_until[''] = NOW + timedelta(seconds=1)
    assert choose_upstream([upstream], NOW, '') is None


def test_leaving_upstream_is_not_chosen_and_ejected_one_last() -> None:
    """An ejected upstream is still better than none."""
    leaving = build_upstream('leaving', leaving=True)
    resting = build_upstream('resting')
    resting.ejected_until = NOW + timedelta(seconds=1)
    loaded = build_upstream('loaded', running=3)
    assert choose_upstream([leaving, resting, loaded], NOW, '') is loaded
    assert choose_upstream([leaving, resting], NOW, '') is resting
    assert choose_upstream([leaving], NOW, '') is None


def test_failed_call_is_retried_at_another_upstream() -> None:
    """Without another upstream, the call returns to the same one."""
    first, second = build_upstream('a'), build_upstream('b', running=2)
    assert choose_upstream([first, second], NOW, 'a') is second
    assert choose_upstream([first], NOW, 'a') is first


@pytest.mark.parametrize(
    ('target', 'timeout', 'failed_calls', 'expected'),
    [
        (500, 2000, 0, 500),
        (500, 2000, 1, 1000),
        (500, 2000, 9, 2000),
        (500, 2000, 5000, 2000),
        (0, 2000, 0, 500),
        (500, 0, 3, 500),
    ],
)
def test_timeout_doubles_up_to_the_route_timeout(
    target: int,
    timeout: int,
    failed_calls: int,
    expected: int,
) -> None:
    # A server that became slow never answers within the first timeout. With a
    # constant timeout its texts would never be scored.
    found = compute_timeout(
        build_route(target, timeout), failed_calls, AttemptTimeouts()
    )
    assert found == timedelta(milliseconds=expected)


def test_complete_text_is_saved_as_complete() -> None:
    # An owner dies between the end of a text and its score. The next owner only
    # repeats the scoring, and does not generate the text again.
    call = ScoringCall('c', 'verse.example', '/score/', b'')
    item = BatchItem('i', '/i', {}, b'', scoring=call)
    run = ItemRun(item, 0, ItemState.running, texts=['a'], last_event=1)
    run.scoring_failures = 1
    run.await_score()
    saved = run.build_partial()
    assert saved == PartialText('i', ['a'], [], 1, True, 1)
    successor = ItemRun(item, 0)
    successor.restore(saved)
    assert successor.state is ItemState.unscored
    assert successor.scoring_failures == 1
    assert successor.build_completed_result('s').text == 'a'
