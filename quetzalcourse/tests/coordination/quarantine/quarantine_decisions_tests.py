"""Admission and placement of requests that may crash upstreams."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import pytest

from quetzalcourse.coordination.quarantine.crash_updates import (
    SEND_DELAY,
    CrashUpdates,
)
from quetzalcourse.coordination.quarantine.quarantine import Quarantine
from quetzalcourse.coordination.quarantine.records import (
    MAX_CRASHES,
    BASE_QUARANTINE_TIME,
    QuarantineRecords,
)
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member
from quetzalcourse.state.quarantine import RequestState
from quetzalcourse.state.refusal import RefusalCode
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.peers import FakeMembers, FakeNetwork

UPSTREAMS = 12
REQUESTS = 96
# Concurrent requests above which an upstream crashes in the cascade.
CAPACITY = 6
ROUNDS = 60


def build() -> Quarantine:
    """Build a quarantine without records."""
    return Quarantine(QuarantineRecords(FakeClock()), Counters())


def crash(quarantine: Quarantine, count: int, name: str = 'f') -> None:
    """Crash and restart a number of upstreams under a request."""
    for number in range(count):
        quarantine.on_crash(name, (f'u-{number}', 1), f'a-{number}')
        quarantine.on_restart((f'v-{number}', 1), f'a-{number}')


@pytest.mark.parametrize('may_have_run', [False, True])
async def test_refusal_says_whether_the_request_may_have_run(
    may_have_run: bool,
) -> None:
    """Guards against a refusal that claims not_run though something ran."""
    quarantine = build()
    crash(quarantine, MAX_CRASHES)
    with pytest.raises(RefusedError) as raised:
        await quarantine.admit('f', may_have_run=may_have_run)
    refusal = raised.value.refusal
    assert refusal.code is RefusalCode.quarantined
    assert refusal.not_run is not may_have_run
    assert refusal.retry_after == BASE_QUARANTINE_TIME


async def test_suspect_runs_once_at_a_time_and_isolated() -> None:
    """Guards against repeats that crash several upstreams concurrently."""
    quarantine = build()
    crash(quarantine, 2, 'first')
    crash(quarantine, 2, 'second')
    assert quarantine.on_start('first', 'u')
    assert not quarantine.may_begin('first')
    with pytest.raises(RefusedError) as raised:
        await quarantine.admit('first')
    assert raised.value.refusal.retry_after
    assert quarantine.may_begin('second')
    assert set(quarantine.list_avoided('second')) == {'u'}
    assert not quarantine.list_avoided('sound')
    quarantine.on_finish('first', 'u')
    assert quarantine.may_begin('first')
    assert not quarantine.list_avoided('second')


async def test_daemons_share_their_observed_crashes() -> None:
    """Guards against a request that crashes three upstreams per daemon."""
    names = [f'vm-{number}' for number in range(4)]
    members = [Member(name, f'{name}-1', 'hall', name) for name in names]
    network = FakeNetwork()
    daemons = []
    clock = FakeClock()
    for member in members:
        quarantine = build()
        peers = network.join(member)
        CrashUpdates(quarantine, FakeMembers(member, members), peers, clock)
        daemons.append(quarantine)
    for number, quarantine in enumerate(daemons[:MAX_CRASHES]):
        run = (f'u-{number}', 1)
        quarantine.on_crash('f', run, f'a-{number}')
        quarantine.on_crash('popular', run, f'a-{number}')
        daemons[3].on_answer('popular', ('sound', 1))
        await clock.advance(SEND_DELAY)
    for quarantine in daemons:
        state = quarantine.records.find_state('f')
        assert state is RequestState.held
        for number in range(MAX_CRASHES):
            quarantine.on_restart((f'v-{number}', 1), f'a-{number}')
    for quarantine in daemons:
        state = quarantine.records.find_state('f')
        assert state is RequestState.quarantined
    assert all(daemon.may_begin('popular') for daemon in daemons)


async def test_crashes_after_a_cancelled_message_are_reported() -> None:
    """Guards against a daemon that never again tells others of crashes."""
    clock = FakeClock()
    network = FakeNetwork()
    own, other = (Member(name, name, 'h', name) for name in ('a', 'b'))
    quarantine, far = build(), build()
    for member, known in ((own, quarantine), (other, far)):
        members = FakeMembers(member, [own, other])
        CrashUpdates(known, members, network.join(member), clock)
    before = asyncio.all_tasks()
    quarantine.on_crash('first', ('u', 1), 'a')
    for task in asyncio.all_tasks() - before:
        task.cancel()
    await clock.advance(SEND_DELAY)
    quarantine.on_crash('second', ('v', 1), 'b')
    await clock.advance(SEND_DELAY)
    assert len(far.records) == 2


def run_cascade(*, isolated: bool) -> int:
    """Crash overloaded upstreams until all requests are answered.

    :param isolated: whether suspects avoid upstreams that run other suspects.
    :returns: number of quarantined requests.
    """
    clock = FakeClock()
    quarantine = Quarantine(QuarantineRecords(clock), Counters())
    waiting = [f'r-{number}' for number in range(REQUESTS)]
    for round_number in range(ROUNDS):
        placed: dict[str, list[str]] = {}
        for number, name in enumerate(waiting):
            if not quarantine.may_begin(name):
                continue
            avoided = quarantine.list_avoided(name) if isolated else ()
            free = [
                upstream
                for upstream in map(str, range(UPSTREAMS))
                if upstream not in avoided
            ]
            if not free:
                continue
            chosen = free[number % len(free)]
            placed.setdefault(chosen, []).append(name)
            quarantine.on_start(name, chosen)
        answered = set()
        for upstream, names in placed.items():
            for name in names:
                if quarantine.records.find_state(name) is RequestState.suspect:
                    quarantine.on_finish(name, upstream)
            if len(names) > CAPACITY:
                clock.move(timedelta(seconds=1))
                run = (upstream, round_number)
                for name in names:
                    quarantine.on_crash(name, run, upstream)
                quarantine.on_restart((upstream, round_number + 1), upstream)
            else:
                for name in names:
                    quarantine.on_answer(name, (upstream, round_number))
                answered.update(names)
        waiting = [name for name in waiting if name not in answered]
    return len(quarantine.records.list_quarantined())


@pytest.mark.parametrize(('isolated', 'blamed'), [(True, False), (False, True)])
def test_overload_that_crashes_upstreams_in_turn_quarantines_nothing(
    isolated: bool,
    blamed: bool,
) -> None:
    """Guards against blame for a burst that crashes upstreams in turn."""
    assert bool(run_cascade(isolated=isolated)) is blamed


def test_gauge_counts_quarantined_requests() -> None:
    """Guards against a quarantine that is not shown to operators."""
    counters = Counters()
    quarantine = Quarantine(QuarantineRecords(FakeClock()), counters)
    crash(quarantine, MAX_CRASHES)
    quarantine.adopt('g', ['u'], timedelta(0), 0)
    assert list(counters.gauges['requests_quarantined'].values()) == [2]
    quarantine.lift('f', 'test')
    assert list(counters.gauges['requests_quarantined'].values()) == [1]


async def test_simultaneous_crash_reports_are_batched() -> None:
    """Guards against one message per daemon for each of hundreds of crashes."""
    own, other = (
        Member(name, f'{name}-1', 'hall', name) for name in ('vm-0', 'vm-1')
    )
    network = FakeNetwork()
    clock = FakeClock()
    quarantine = build()
    far = build()
    for member, known in ((own, quarantine), (other, far)):
        members = FakeMembers(member, [own, other])
        CrashUpdates(known, members, network.join(member), clock)
    for number in range(200):
        quarantine.on_crash(f'f-{number}', ('u', 1), 'a')
    await clock.advance(SEND_DELAY)
    assert len(network.sent) == 1
    assert len(far.records) == 200
