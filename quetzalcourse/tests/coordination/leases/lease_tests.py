"""Tests that a lease never has two holders, and of what ends its term."""

from __future__ import annotations

import asyncio
import random
from datetime import timedelta
from itertools import pairwise
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from quetzalcourse.coordination.leases.lease import Lease
from quetzalcourse.standins.virtual_time import VirtualClock, run_virtual
from quetzalcourse.state.lease import (
    LeaseState,
    LeaseTimings,
    compute_min_margin,
)
from quetzalcourse.state.rows import Transaction, Write
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.gates import GatedTable, SlowTable, draw_pause
from quetzalcourse.tests.tables import FakeStore

if TYPE_CHECKING:
    from collections.abc import Sequence

KEY = 'lease/orders'
TERMS = LeaseTimings(timedelta(seconds=10), timedelta(seconds=2))
DRIFT = 0.05
RATES = (1 - DRIFT, 1 + DRIFT, 1 - DRIFT)
DRIFTING = LeaseTimings(
    timedelta(seconds=10),
    compute_min_margin(timedelta(seconds=10), DRIFT),
    timedelta(seconds=0.5),
)
SentOrder = tuple[float, int, int]
TICK_SECONDS = 0.1
ORDER_SECONDS = 2 * 0.5 / (1 + DRIFT)
CONTENDERS = strategies.integers(0, 2)


class ContenderPair:
    """Two contenders, each with its own clock."""

    def __init__(
        self,
        names: Sequence[str] = ('first', 'second'),
        terms: LeaseTimings = TERMS,
    ) -> None:
        self.store = FakeStore()
        self.clocks = [FakeClock() for _ in names]
        self.first, self.second = (
            Lease(self.store, clock, KEY, name, terms)
            for clock, name in zip(self.clocks, names, strict=True)
        )

    def move(self, seconds: float) -> None:
        """Advance both clocks."""
        for clock in self.clocks:
            clock.move(timedelta(seconds=seconds))


async def commit_under_lease(store: FakeStore, lease: Lease) -> bool:
    """Write a row on the condition that a lease is still held."""
    answer = await store.transact(
        Transaction((lease.fence_condition(),), (Write('work', b''),))
    )
    return answer.unwrap().applied


async def run_to_next_gate() -> None:
    """Let a contender run from one gate to the next."""
    for _ in range(4):
        await asyncio.sleep(0)


async def test_lost_renewal_answer_neither_extends_term_nor_fails_commits() -> (
    None
):
    # The store applies a renewal and its answer is lost. A holder that counted
    # it would outlast its term; one that kept the old version would have its
    # commits and renewals refused until the term ran out.
    pair = ContenderPair()
    assert await pair.first.acquire_or_renew()
    pair.move(8)
    pair.store.write_faults.append('lost_after')
    assert await pair.first.acquire_or_renew()
    assert await commit_under_lease(pair.store, pair.first)
    pair.move(1)
    assert await pair.first.acquire_or_renew()
    pair.move(9)
    assert pair.first.held
    pair.store.write_faults.append('lost_after')
    await pair.first.acquire_or_renew()
    pair.move(1)
    assert not pair.first.held


async def test_acquisition_with_lost_answer_is_recognised_in_row() -> None:
    # A new holder's first write takes effect, but its answer is lost. If it did
    # not recognise its own claim, everyone would wait for a holder that does
    # not exist.
    pair = ContenderPair()
    pair.store.write_faults.append('lost_after')
    assert not await pair.first.acquire_or_renew()
    assert await pair.first.acquire_or_renew()
    assert pair.first.token == 1
    assert await commit_under_lease(pair.store, pair.first)


@pytest.mark.parametrize('fault', ['', 'lost_after', 'lost_before'])
async def test_release_lets_next_holder_start_at_once(fault: str) -> None:
    # A daemon shuts down just after a renewal whose answer was lost, and the
    # release's own answer may be lost as well. Without a second attempt, no
    # orders would be sent for a whole term.
    pair = ContenderPair()
    assert await pair.first.acquire_or_renew()
    pair.store.write_faults.append('lost_after')
    await pair.first.acquire_or_renew()
    pair.store.write_faults.append(fault)
    await pair.first.release()
    assert not pair.first.held
    assert await pair.second.acquire_or_renew()
    assert pair.second.token == 2
    assert not await pair.first.acquire_or_renew()


async def test_contender_with_name_of_holder_waits_for_the_term() -> None:
    # A restarted daemon, or a second task of one daemon, contends under the
    # name in the row, while the first may still be sending.
    pair = ContenderPair(('same', 'same'))
    assert await pair.first.acquire_or_renew()
    assert not await pair.second.acquire_or_renew()
    pair.move(11.9)
    assert not await pair.second.acquire_or_renew()
    pair.move(0.2)
    assert await pair.second.acquire_or_renew()
    assert pair.second.token == 2
    assert not await commit_under_lease(pair.store, pair.first)


async def test_deleted_row_neither_shortens_wait_nor_resets_tokens() -> None:
    # An operator deletes the row of a held lease. A contender that treated an
    # absent row as free would send at the same time as the holder, and with a
    # token that receivers have already seen.
    pair = ContenderPair()
    assert await pair.first.acquire_or_renew()
    await pair.store.transact(Transaction((), (Write(KEY, None),)))
    assert not await pair.second.acquire_or_renew()
    pair.move(12)
    assert await pair.second.acquire_or_renew()
    assert pair.second.token == 2
    assert await commit_under_lease(pair.store, pair.second)


async def test_store_outage_past_term_leaves_no_holder() -> None:
    # The store goes down. Every daemon must report that nobody holds the lease,
    # and the holder itself must stop.
    pair = ContenderPair()
    assert await pair.first.acquire_or_renew()
    assert not await pair.second.acquire_or_renew()
    assert pair.first.describe().state is LeaseState.held
    assert pair.second.describe().state is LeaseState.other
    pair.store.down = True
    pair.move(12.1)
    assert not await pair.first.acquire_or_renew()
    assert not await pair.second.acquire_or_renew()
    assert pair.first.describe().state is LeaseState.nobody
    assert pair.second.describe().state is LeaseState.nobody
    pair.store.down = False
    assert await pair.second.acquire_or_renew()
    assert not await pair.first.acquire_or_renew()


async def test_term_starts_before_the_renewal_is_sent() -> None:
    # The store applies a renewal at once and answers four seconds later.
    # Contenders saw it at once, so a holder that counted from the answer would
    # still send when the next one starts.
    table = GatedTable(FakeStore())
    clock = FakeClock()
    lease = Lease(table, clock, KEY, 'daemon', TERMS)
    task = asyncio.create_task(lease.acquire_or_renew())
    for number in range(8):
        await run_to_next_gate()
        if number == 5:
            clock.move(timedelta(seconds=4))
        table.open()
    assert await task
    clock.move(timedelta(seconds=5.9))
    assert lease.held
    clock.move(timedelta(seconds=0.2))
    assert not lease.held


async def test_late_renewal_answer_does_not_undo_release() -> None:
    # A daemon shuts down while its renewal is in progress. If the answer
    # restored the lease, the daemon would send at the same time as the next
    # holder.
    store = FakeStore()
    table = GatedTable(store)
    lease = Lease(table, FakeClock(), KEY, 'daemon', TERMS)
    for _ in range(2):
        task = asyncio.create_task(lease.acquire_or_renew())
        for _ in range(8):
            await run_to_next_gate()
            table.open()
        assert await task
    renewal = asyncio.create_task(lease.acquire_or_renew())
    await run_to_next_gate()
    table.open()
    await run_to_next_gate()
    release = asyncio.create_task(lease.release())
    for _ in range(8):
        await run_to_next_gate()
        table.open()
    await release
    assert not await renewal
    assert not lease.held
    assert await Lease(
        store, FakeClock(), KEY, 'next', TERMS
    ).acquire_or_renew()


async def test_holder_stops_sending_one_order_timeout_before_expiry() -> None:
    # An order to a receiver that ignores tokens is still in transit when the
    # term ends, and takes effect after the next holder's first order.
    pair = ContenderPair(terms=DRIFTING)
    assert await pair.first.acquire_or_renew()
    assert not await pair.second.acquire_or_renew()
    pair.move(9.4)
    assert pair.first.may_send
    pair.move(0.2)
    assert pair.first.held
    assert not pair.first.may_send
    pair.move(1.9)
    assert not await pair.second.acquire_or_renew()
    pair.move(0.2)
    assert await pair.second.acquire_or_renew()


class LeaseMachine(RuleBasedStateMachine):
    """Contenders whose requests may each be delayed, lost or left unanswered.

    An order takes effect at a receiver that ignores tokens up to two order
    timeouts after the check: one delayed in the process, one in transit.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = FakeStore()
        self.clocks = [FakeClock(rate) for rate in RATES]
        self.tables = [GatedTable(self.store) for _ in RATES]
        self.leases = [
            Lease(table, clock, KEY, 'daemon', DRIFTING)
            for table, clock in zip(self.tables, self.clocks, strict=True)
        ]
        self.tasks: list[asyncio.Task[bool] | None] = [None] * len(RATES)
        self.time = 0.0
        self.sent: list[tuple[int, float]] = []
        self.tokens: list[int] = []

    async def run_one(self, index: int, gates: int, lose: bool) -> None:
        """Start acquiring unless it is in progress, and open some gates."""
        task = self.tasks[index]
        if task is None or task.done():
            pursuit = self.leases[index].acquire_or_renew()
            self.tasks[index] = self.loop.create_task(pursuit)
        for number in range(gates):
            await run_to_next_gate()
            self.tables[index].open(lose and number == gates - 1)
        await run_to_next_gate()

    @rule(
        index=CONTENDERS,
        gates=strategies.integers(0, 6),
        lose=strategies.booleans(),
    )
    def run_through_gates(self, index: int, gates: int, lose: bool) -> None:
        self.loop.run_until_complete(self.run_one(index, gates, lose))

    @rule(index=CONTENDERS)
    def finish(self, index: int) -> None:
        self.loop.run_until_complete(self.run_one(index, 8, False))

    @rule(seconds=strategies.sampled_from([0.1, 3.0, 9.0, 12.0]))
    def pass_time(self, seconds: float) -> None:
        self.time += seconds
        for clock in self.clocks:
            clock.move(timedelta(seconds=seconds))

    @rule(
        index=CONTENDERS,
        gates=strategies.integers(1, 4),
        seconds=strategies.sampled_from([3.0, 9.0]),
    )
    def stall(self, index: int, gates: int, seconds: float) -> None:
        self.run_through_gates(index, gates, lose=False)
        for other in range(len(RATES)):
            if other != index:
                self.finish(other)
        self.pass_time(seconds)
        self.finish(index)

    @rule(index=CONTENDERS, seconds=strategies.sampled_from([9.9, 11.1]))
    def take_over(self, index: int, seconds: float) -> None:
        self.finish(index)
        self.send_all()
        self.pass_time(seconds)
        self.finish(index)
        self.send_all()

    @rule()
    def send_all(self) -> None:
        for index, lease in enumerate(self.leases):
            if lease.may_send:
                self.send(index, lease.token)

    def send(self, index: int, token: int) -> None:
        """Send an order and check it against the earlier ones."""
        assert all(
            sender == index or self.time - sent > ORDER_SECONDS
            for sender, sent in self.sent
        ), 'an order of another holder may still take effect'
        self.sent.append((index, self.time))
        self.tokens.append(token)

    @invariant()
    def at_most_one_lease_is_held(self) -> None:
        assert sum(lease.held for lease in self.leases) <= 1
        assert self.tokens == sorted(self.tokens)

    def teardown(self) -> None:
        for task in self.tasks:
            if task is not None:
                task.cancel()
        self.loop.run_until_complete(run_to_next_gate())
        self.loop.close()


LeaseMachine.TestCase.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=20, deadline=None
)
test_at_most_one_holder_at_a_time = LeaseMachine.TestCase


class Sender:
    """A process that contends for a lease and sends orders while it may."""

    def __init__(self, lease: Lease, source: random.Random) -> None:
        self.lease = lease
        self._source = source

    async def contend(self, releases: bool) -> None:
        """Contend for the lease, pausing at times as a stopped process does."""
        while True:
            await self.lease.acquire_or_renew()
            if releases and self._source.random() < 0.005:
                await self.lease.release()
            lasting = self._source.random() < 0.05
            await asyncio.sleep(self._source.uniform(9, 16) if lasting else 0.1)


async def run_schedule(seed: int, releases: bool) -> list[SentOrder]:
    """Run contenders on drifting clocks against an unreliable store.

    :returns: time, sender and token of each order, in order.
    """
    source = random.Random(seed)
    store = FakeStore()
    sent: list[SentOrder] = []
    senders = []
    for rate in RATES:
        table = SlowTable(store, 4, lambda: draw_pause(source, 6))
        lease = Lease(table, VirtualClock(rate=rate), KEY, 'daemon', DRIFTING)
        senders.append(Sender(lease, source))
    tasks = [
        asyncio.create_task(sender.contend(releases)) for sender in senders
    ]
    for tick in range(2000):
        await asyncio.sleep(TICK_SECONDS)
        assert sum(sender.lease.held for sender in senders) <= 1
        sent.extend(
            (tick * TICK_SECONDS, index, sender.lease.token)
            for index, sender in enumerate(senders)
            if sender.lease.may_send
        )
    for task in tasks:
        task.cancel()
    return sent


@pytest.mark.parametrize('releases', [False, True])
@given(seed=strategies.integers(0, 10**6))
@settings(derandomize=True, max_examples=20, deadline=None)
def test_no_schedule_has_two_holders(releases: bool, seed: int) -> None:
    # Combines all faults for 200 seconds: contenders pause, their clocks drift,
    # and the store is slow, down, and applies writes that were given up on. Two
    # senders in one term would send orders to upstreams twice.
    sent = run_virtual(run_schedule(seed, releases))
    tokens = [token for _, _, token in sent]
    assert tokens == sorted(tokens)
    owners = {(token, sender) for _, sender, token in sent}
    assert len(owners) == len(set(tokens))
    for before, after in pairwise(sent):
        if before[1] != after[1] and not releases:
            assert after[0] - before[0] >= ORDER_SECONDS - TICK_SECONDS


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'[' * 9999,
        b'{"holder":"x","token":' + b'9' * 30 + b',"renewal":0}',
        b'{"holder":1,"token":1,"renewal":0}',
    ],
)
async def test_malformed_row_holds_a_lease_up_for_one_term(
    content: bytes,
) -> None:
    # Guards against a row of another writer in place of a lease's, which ends
    # each attempt to acquire it, so that nobody sends orders or reports.
    pair = ContenderPair()
    assert await pair.first.acquire_or_renew()
    await pair.store.transact(Transaction((), (Write(KEY, content),)))
    pair.move(1)
    assert not await pair.second.acquire_or_renew()
    await pair.first.acquire_or_renew()
    pair.move(TERMS.wait.total_seconds())
    assert not pair.first.held
    assert await pair.second.acquire_or_renew()
    assert pair.second.token == pair.first.token + 1
    assert await commit_under_lease(pair.store, pair.second)
