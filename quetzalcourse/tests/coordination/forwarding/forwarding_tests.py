"""Number of attempts of a forwarded request, and its refusal."""

from __future__ import annotations

from datetime import timedelta

import pytest

from quetzalcourse.coordination.forwarding.forwarding import (
    Forwarder,
    ForwardedRequest,
)
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.quarantine.quarantine import Quarantine
from quetzalcourse.coordination.quarantine.records import QuarantineRecords
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.state.routing import Route, RouteKind, Target
from quetzalcourse.tests.clocks import FakeClock

UPSTREAMS = 4
MAX_ATTEMPTS = 2


def build() -> tuple[Forwarder, ForwardedRequest]:
    """Build an idempotent request to a service with four upstreams."""
    clock = FakeClock()
    pool = Pool('hall', clock, Counters())
    for number in range(UPSTREAMS):
        pool.replace(PoolMember(f'u-{number}', 's', f'u-{number}:1', 'hall', 6))
    quarantine = Quarantine(QuarantineRecords(clock), Counters())
    route = Route(
        'r',
        'host',
        '/lookup/',
        RouteKind.idempotent,
        timedelta(seconds=1),
        timedelta(milliseconds=200),
        1,
        (Target('s', 1),),
        MAX_ATTEMPTS,
    )
    deadline = clock.elapsed() + timedelta(seconds=1)
    request = ForwardedRequest('r-1', route, 's', 'desk', deadline)
    return Forwarder(pool, quarantine, clock), request


def test_refused_connections_do_not_count_as_attempts() -> None:
    """Guards against a refusal while a healthy upstream is left."""
    forwarder, request = build()
    tried = set()
    for _ in range(UPSTREAMS):
        upstream = forwarder.choose(request)
        tried.add(upstream.name)
        forwarder.on_not_sent(request, upstream)
        assert forwarder.may_repeat(request, not_run=True)
    assert len(tried) == UPSTREAMS
    with pytest.raises(RefusedError):
        forwarder.choose(request)


def test_attempts_that_may_have_run_are_limited() -> None:
    """Guards against a request that runs on more upstreams than allowed."""
    forwarder, request = build()
    for left in range(MAX_ATTEMPTS - 1, -1, -1):
        forwarder.choose(request)
        may_repeat = forwarder.may_repeat(request, not_run=False)
        assert may_repeat is bool(left)


def test_request_is_refused_when_all_upstreams_are_unreachable() -> None:
    """Guards against a request that tries dead upstreams until its deadline."""
    forwarder, request = build()
    forwarder.choose(request)
    request.may_have_run = True
    for _ in range(UPSTREAMS):
        upstream = forwarder.choose(request)
        forwarder.on_not_sent(request, upstream)
    assert request.unreachable == {f'u-{one}' for one in range(UPSTREAMS)}
    with pytest.raises(RefusedError):
        forwarder.choose(request)
