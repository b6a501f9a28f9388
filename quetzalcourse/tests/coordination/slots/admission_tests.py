"""Tests of one daemon's admission: limits, deadlines, overload, fairness."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import pytest

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.manifest import ClientAccount
from quetzalcourse.state.refusal import RefusalCode
from quetzalcourse.tests.clocks import settle
from quetzalcourse.tests.slots import (
    Deployment,
    SimulatedDaemon,
    make_manifest,
    make_upstream,
)

HUMAN = TrafficClass.human
TRAINING = TrafficClass.training
SECOND = timedelta(seconds=1)


def start_daemon(
    rate: float = 1e6,
    concurrent: int = 100,
    queued: int = 100,
) -> SimulatedDaemon:
    """Start a standalone daemon with four slots and one limited account."""
    account = ClientAccount('reader', 1.0, rate, concurrent, queued)
    manifest = make_manifest(
        make_upstream(), client_accounts={'reader': account}
    )
    return Deployment(1, manifest).daemons[0]


async def read_refusal(task: asyncio.Task[None]) -> RefusalCode:
    """Return the code of a request's refusal."""
    with pytest.raises(RefusedError) as caught:
        await task
    assert caught.value.refusal.not_run
    return caught.value.refusal.code


async def test_request_cancelled_after_grant_releases_slot() -> None:
    # Guards against a lost slot: the caller disconnects in the same event loop
    # iteration in which its slot is granted, nobody else knows of the slot, and
    # the engine stays one short.
    holder = start_daemon()
    for _ in range(4):
        holder.ask(HUMAN)
    await settle()
    late = holder.ask(HUMAN)
    await settle()
    holder.release_oldest()
    late.cancel()
    await settle()
    assert holder.admission.running('engine') == 3
    await holder.stop()


async def test_request_cancelled_before_grant_is_skipped() -> None:
    # The caller disconnects, and a slot is released before the cancelled task
    # has run. The slot must go to the next request.
    holder = start_daemon()
    for _ in range(4):
        holder.ask(HUMAN)
    await settle()
    disconnected, next_one = holder.ask(HUMAN), holder.ask(HUMAN)
    await settle()
    disconnected.cancel()
    holder.release_oldest()
    await settle()
    assert len(holder.grants) == 4
    assert not next_one.done()
    assert holder.admission.waiting() == 0
    await holder.stop()


async def test_queued_request_is_refused_at_deadline() -> None:
    # All slots stay taken for longer than the caller waits. The request must be
    # refused at its deadline and never sent.
    holder = start_daemon()
    for _ in range(4):
        holder.ask(HUMAN)
    await settle()
    late = holder.ask(HUMAN, patience=SECOND)
    await holder.clock.advance(SECOND * 0.9)
    assert not late.done()
    await holder.clock.advance(SECOND * 0.2)
    assert await read_refusal(late) is RefusalCode.deadline_exceeded
    holder.release_oldest()
    await settle()
    assert len(holder.grants) == 3
    await holder.stop()


@pytest.mark.parametrize(
    ('limits', 'asked', 'code'),
    [
        ({'rate': 2}, 5, RefusalCode.rate_limited),
        ({'concurrent': 3}, 4, RefusalCode.rate_limited),
        ({'queued': 2}, 7, RefusalCode.overloaded),
    ],
)
async def test_request_above_limit_is_refused(
    limits: dict[str, int],
    asked: int,
    code: RefusalCode,
) -> None:
    holder = start_daemon(**limits)
    tasks = []
    for _ in range(asked):
        tasks.append(holder.ask(HUMAN))
        await settle()
    with pytest.raises(RefusedError) as caught:
        await tasks.pop()
    assert caught.value.refusal.code is code
    assert caught.value.refusal.retry_after is not None
    assert not any(task.done() for task in tasks)
    await holder.stop()


async def test_rate_limited_account_is_admitted_after_two_seconds() -> None:
    holder = start_daemon(rate=0.5)
    holder.ask(HUMAN)
    await settle()
    refused = holder.ask(HUMAN)
    await settle()
    assert await read_refusal(refused) is RefusalCode.rate_limited
    await holder.clock.advance(SECOND * 2)
    accepted = holder.ask(HUMAN)
    await settle()
    assert not accepted.done()
    await holder.stop()


@pytest.mark.parametrize(
    ('waiting', 'arriving', 'refused'),
    [
        ([(TRAINING, 9), (TRAINING, 5), (HUMAN, 1)], HUMAN, 1),
        ([(HUMAN, 9), (HUMAN, 5), (HUMAN, 7)], HUMAN, 1),
        ([(HUMAN, 9), (HUMAN, 5), (HUMAN, 7)], TRAINING, 3),
    ],
)
async def test_full_queue_rejects_training_then_earliest_deadline(
    waiting: list[tuple[TrafficClass, int]],
    arriving: TrafficClass,
    refused: int,
) -> None:
    # More requests arrive than the daemon may queue. Training is rejected
    # first, then the request with the earliest deadline, which would expire
    # first anyway.
    holder = start_daemon()
    holder.admission._max_waiting = 3
    for _ in range(4):
        holder.ask(HUMAN)
    await settle()
    tasks = [
        holder.ask(traffic_class, patience=SECOND * seconds)
        for traffic_class, seconds in waiting
    ]
    tasks.append(holder.ask(arriving, patience=SECOND * 100))
    await settle()
    assert [task.done() for task in tasks].index(True) == refused
    assert sum(task.done() for task in tasks) == 1
    assert await read_refusal(tasks[refused]) is RefusalCode.overloaded
    await holder.stop()


async def test_flooding_account_does_not_delay_others() -> None:
    # One account sends five times as many requests as the other, and sends them
    # first.
    holder = start_daemon()
    for _ in range(4):
        holder.ask(TRAINING, account='busy')
    for _ in range(40):
        holder.ask(TRAINING, account='flood')
    for _ in range(8):
        holder.ask(TRAINING, account='quiet')
    await settle()
    served = []
    for _ in range(8):
        for _ in range(4):
            holder.release_oldest(tokens=10)
        await settle()
        served += [grant.client_account for grant in holder.grants]
    assert served[:16].count('quiet') == 8
    await holder.stop()


async def test_second_release_frees_nothing() -> None:
    # A second release of the same grant would let the engine be overcommitted.
    holder = start_daemon()
    for _ in range(6):
        holder.ask(HUMAN)
    await settle()
    grant = holder.grants.pop()
    holder.admission.release(grant)
    holder.admission.release(grant)
    await settle()
    assert holder.admission.running('engine') == 4
    await holder.stop()
