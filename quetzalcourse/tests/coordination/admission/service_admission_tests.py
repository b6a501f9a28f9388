"""Replays of overload at the queue of one service."""

from __future__ import annotations

from collections import defaultdict
from datetime import timedelta
from itertools import pairwise
from random import Random

import pytest

from quetzalcourse.coordination.admission.rejection import ReturnSchedule
from quetzalcourse.coordination.admission.start_limits import DECISION_SHARE
from quetzalcourse.standins.request_replay import (
    START,
    ImmediatePolicy,
    QueueingPolicy,
    Replay,
    ReplayedRequest,
    Service,
)

SERVICE = Service(slots=12, slot_time=timedelta(milliseconds=40))
CAPACITY = 300.0
ACCOUNTS = 81


def build_requests(
    rate: float, seconds: float, start: float = 0, seed: int = 11
) -> list[ReplayedRequest]:
    """Build requests of many accounts, one of them with 60 % of all."""
    random = Random(seed)
    requests = []
    at = start
    while at < start + seconds:
        at += random.expovariate(rate)
        account = f'small-{random.randrange(ACCOUNTS)}'
        if random.random() < 0.6:
            account = 'large'
        moment = START + timedelta(seconds=at)
        requests.append(ReplayedRequest(account, moment))
    return requests


def run(requests: list[ReplayedRequest]) -> Replay:
    """Replay requests through the queue."""
    replay = Replay(SERVICE, QueueingPolicy())
    replay.run(requests)
    return replay


def find_p99(durations: list[timedelta]) -> timedelta:
    """Find the 99th percentile."""
    return sorted(durations)[len(durations) * 99 // 100]


def compute_served_shares(
    requests: list[ReplayedRequest],
) -> dict[str, float]:
    """Compute the share of requests served by account."""
    served: dict[str, list[bool]] = defaultdict(list)
    for request in requests:
        served[request.account].append(request.served_in is not None)
    return {name: sum(each) / len(each) for name, each in served.items()}


def test_burst_of_six_times_the_traffic() -> None:
    """Guards against rejections that come late, or while slots are free."""
    usual = CAPACITY / 3
    requests = (
        build_requests(usual, 3)
        + build_requests(usual * 6, 9, start=3)
        + build_requests(usual, 3, start=12)
    )
    replay = run(requests)
    rejections = [each for one in requests for each in one.rejections]
    assert len(rejections) > 1000
    assert find_p99(rejections) < SERVICE.target * DECISION_SHARE
    assert replay.free_at_rejection < SERVICE.slots / 4
    in_time = [
        one
        for one in requests
        if one.served_in is not None and one.served_in <= SERVICE.target
    ]
    burst_work = 9 * CAPACITY + 6 * usual
    assert len(in_time) > 0.5 * burst_work
    # Outside of the burst nobody waits.
    calm = [one for one in requests if one.at < START + timedelta(seconds=3)]
    assert not any(one.rejections for one in calm)


@pytest.mark.parametrize('overload', [1.3, 2, 6])
def test_as_many_are_on_time_as_without_a_queue(overload: float) -> None:
    """Guards against a queue in which all wait until they are late."""
    counts = []
    for policy in (ImmediatePolicy(), QueueingPolicy()):
        requests = build_requests(CAPACITY * overload, 9)
        Replay(SERVICE, policy).run(requests)
        counts.append(
            sum(
                one.served_in is not None and one.served_in <= SERVICE.target
                for one in requests
            )
        )
    assert counts[1] >= counts[0]


@pytest.mark.parametrize('seed', [11, 12, 13])
def test_large_account_does_not_starve_small_ones(seed: int) -> None:
    """Guards against an account that gets slots by its share of requests."""
    requests = build_requests(CAPACITY * 2, 20, seed=seed)
    run(requests)
    shares = compute_served_shares(requests)
    worst = sorted(shares.values())[: len(shares) // 10]
    mean = sum(shares.values()) / len(shares)
    assert sum(worst) / len(worst) >= 0.9 * mean
    assert min(shares[name] for name in shares if name != 'large') > 0.99
    # Nothing is withheld from the large account either.
    served = sum(one.served_in is not None for one in requests)
    assert served > 0.95 * CAPACITY * 20


def test_less_urgent_requests_are_not_served_more_often() -> None:
    """Guards against ranks that have no effect."""
    random = Random(11)
    requests = build_requests(CAPACITY * 2, 9)
    for request in requests:
        request.rank = random.randrange(3)
    run(requests)
    shares = [
        [one.served_in is not None for one in requests if one.rank == rank]
        for rank in range(3)
    ]
    means = [sum(each) / len(each) for each in shares]
    assert means[0] > 0.99
    assert means == sorted(means, reverse=True)


def test_returned_requests_go_before_new_ones() -> None:
    """Guards against callers that are rejected each time they return."""
    requests = build_requests(CAPACITY * 1.5, 9)
    run(requests)
    returned = [one for one in requests if one.attempts > 1]
    new = [one for one in requests if one.account == 'large']
    assert len(returned) > 500
    served = sum(one.served_in is not None for one in returned)
    first = sum(one.served_in is not None for one in new if one.attempts == 1)
    assert served / len(returned) > 1.5 * first / len(new)


def test_rejected_callers_do_not_return_together() -> None:
    """Guards against rejected callers that all return at the same moment."""
    schedule = ReturnSchedule()
    interval = timedelta(milliseconds=3)
    turns = [
        START
        + schedule.assign(
            START, timedelta(milliseconds=20), interval, SERVICE.timeout
        )
        for _ in range(100)
    ]
    gaps = [later - turn for turn, later in pairwise(turns)]
    assert set(gaps) == {interval}
