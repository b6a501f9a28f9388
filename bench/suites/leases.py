"""Leases: take-over, orders, usage under kills, store requests."""

from __future__ import annotations

import asyncio
import random
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

from bench.figure import SHOWN, Figure, at_most
from quetzalcourse.coordination.leases.lease import Lease
from quetzalcourse.coordination.leases.leader_elector import LeaderElector
from quetzalcourse.standins.virtual_time import VirtualClock, run_virtual
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.lease import LeaseTimings
from quetzalcourse.state.members import Member
from quetzalcourse.tests.gates import SlowTable, draw_pause
from quetzalcourse.tests.peers import FakeMembers
from quetzalcourse.tests.tables import FakeStore
from quetzalcourse.tests.usage_simulation import UsageSimulation

if TYPE_CHECKING:
    from collections.abc import Coroutine

FIGURES = (
    'takeover_s',
    'takeover_after_release_s',
    'orders_by_two_holders',
    'windows_reported_twice',
    'usage_error_ratio',
    'lease_store_requests_per_s',
    'lease_store_requests_slope',
)
TERMS = LeaseTimings(
    timedelta(seconds=10), timedelta(seconds=2), timedelta(seconds=2)
)
WAIT_SECONDS = TERMS.wait.total_seconds()
POLL_SECONDS = 1.0
TAKEOVERS = 200
PAUSED_RUNS = 40
USAGE_SEEDS = 8
SIZES = (9, 18, 36)
STEADY_SECONDS = 3600
HOUR = timedelta(hours=1)
MILLISECONDS = 1000


async def measure() -> list[Figure]:
    """Run everything on virtual time, in a thread with its own loop."""
    return [
        *await run_apart(measure_takeover()),
        await run_apart(measure_paused_senders()),
        *await measure_usage(),
        *await measure_store(),
    ]


async def run_apart(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a program on virtual time beside the bench's own loop."""
    return await asyncio.to_thread(run_virtual, main)


class Contender:
    """A daemon that contends for one lease."""

    def __init__(self, store: FakeStore, source: random.Random) -> None:
        """Begin to contend."""
        name = f'vm-{source.randrange(10**9)}'
        self.member = Member(name, name, 'hall', '')
        self.members = FakeMembers(self.member, [])
        clock = VirtualClock()
        table = SlowTable(store, 2, lambda: draw_pause(source, 0.5))
        self.lease = Lease(table, clock, 'lease/orders', name, TERMS)
        keeper = LeaderElector(self.lease, self.members, clock, Counters())
        self.release = keeper.release
        self.retire = keeper.stop_renewing
        self.task = asyncio.create_task(keeper.run())


def tell_members(contenders: list[Contender]) -> None:
    """Let each contender know who is live."""
    live = [contender.member for contender in contenders]
    for contender in contenders:
        contender.members.change(live)


async def find_holder(contenders: list[Contender]) -> Contender:
    """Wait until a contender holds the lease."""
    while True:
        for contender in contenders:
            if contender.lease.held:
                return contender
        await asyncio.sleep(0.01)


async def measure_takeover() -> list[Figure]:
    """End the holder, by death and in good order, and time the next one."""
    source = random.Random(6)
    store = FakeStore()
    contenders = [Contender(store, source) for _ in range(9)]
    loop = asyncio.get_running_loop()
    killed = HdrHistogram(1, 10**6, 3)
    released = HdrHistogram(1, 10**6, 3)
    for number in range(TAKEOVERS):
        tell_members(contenders)
        holder = await find_holder(contenders)
        await asyncio.sleep(source.uniform(5, 20))
        contenders.remove(holder)
        began = loop.time()
        times = killed
        if number % 2:
            times = released
            holder.retire()
            await holder.release()
        holder.task.cancel()
        loop.call_later(4, tell_members, contenders)
        contenders.append(Contender(store, source))
        contenders[-1].members.change([one.member for one in contenders])
        await find_holder(contenders)
        times.record_value(int((loop.time() - began) * MILLISECONDS))
    for contender in contenders:
        contender.task.cancel()
    return [
        make_takeover('takeover_s', killed, WAIT_SECONDS + 2 * POLL_SECONDS),
        make_takeover(
            'takeover_after_release_s', released, TERMS.term.total_seconds()
        ),
    ]


def make_takeover(name: str, times: HdrHistogram, limit: float) -> Figure:
    """Tell the times in seconds and in terms of the term."""
    term = TERMS.term.total_seconds()
    half = times.get_value_at_percentile(50) / MILLISECONDS
    most = times.get_value_at_percentile(99) / MILLISECONDS
    return Figure(
        name,
        most,
        's at p99',
        at_most(limit),
        baseline=WAIT_SECONDS,
        detail=f'p50 {half:.2f} s; {half / term:.2f} and {most / term:.2f} '
        f'terms; baseline is term + margin + order timeout',
    )


async def measure_paused_senders() -> Figure:
    """Stop holders past their term and count orders of two holders.

    The baseline sends as soon as it wakes up, without the check.
    """
    overlaps = {True: 0, False: 0}
    sent = 0
    for seed in range(PAUSED_RUNS):
        for checked in overlaps:
            tokens = await send_while_paused(random.Random(seed), checked)
            sent += len(tokens)
            overlaps[checked] += count_older(tokens)
    return Figure(
        'orders_by_two_holders',
        overlaps[True],
        'orders',
        at_most(0),
        baseline=overlaps[False],
        detail=f'{sent} orders in {PAUSED_RUNS} runs; baseline without check',
    )


async def send_while_paused(source: random.Random, checked: bool) -> list[int]:
    """Let three holders order with pauses between decision and sending."""
    store = FakeStore()
    tokens: list[int] = []

    async def work() -> None:
        table = SlowTable(store, 2, lambda: draw_pause(source, 3))
        lease = Lease(table, VirtualClock(), 'lease/orders', 'vm', TERMS)
        while True:
            await lease.acquire_or_renew()
            if lease.held:
                token = lease.token
                paused = source.random() < 0.1
                await asyncio.sleep(source.uniform(9, 30) if paused else 0.1)
                if lease.may_send or not checked:
                    tokens.append(token)
            await asyncio.sleep(0.5)

    tasks = [asyncio.create_task(work()) for _ in range(3)]
    await asyncio.sleep(300)
    for task in tasks:
        task.cancel()
    return tokens


def count_older(tokens: list[int]) -> int:
    """Count orders that came after one of a later holder."""
    highest = 0
    older = 0
    for token in tokens:
        older += token < highest
        highest = max(highest, token)
    return older


async def run_usage(seed: int, copies: bool) -> UsageSimulation:
    """Count, kill and report for some windows.

    :param copies: whether copies reach the peers.
    """
    source = random.Random(seed)
    world = UsageSimulation(source)
    for _ in range(5):
        world.start()
    for _ in range(60):
        await asyncio.sleep(source.uniform(0.5, 9))
        if not copies:
            world.network.peers.clear()
        for _ in range(source.randrange(12)):
            world.count(source.choice(list(world.daemons)))
        if source.random() < 0.15:
            await asyncio.sleep(source.uniform(0, 5))
            world.kill(source.choice(list(world.daemons)))
            world.start()
    await asyncio.sleep(360)
    for daemon in world.daemons.values():
        daemon.end()
    return world


async def measure_usage() -> list[Figure]:
    """Kill daemons while they count, with and without copies."""
    twice = 0
    windows = 0
    missing = {True: 0, False: 0}
    counted = {True: 0, False: 0}
    for seed in range(USAGE_SEEDS):
        for copies in missing:
            world = await run_apart(run_usage(seed, copies))
            twice += world.count_conflicts() + world.count_overlaps()
            windows += len(
                {received.window for received in world.billing.received}
            )
            counted[copies] += world.counted
            missing[copies] += abs(world.counted - world.sum_reported())
    return [
        Figure(
            'windows_reported_twice',
            twice,
            'windows',
            at_most(0),
            detail=f'of {windows} windows, billing losing one answer in five',
        ),
        Figure(
            'usage_error_ratio',
            missing[True] / counted[True],
            'of tokens',
            at_most(0.05),
            baseline=missing[False] / counted[False],
            detail='a kill each 32 s, windows of 60 s; baseline without copies',
        ),
    ]


async def run_steady(size: int, agreed: bool = True) -> float:
    """Count a deployment's store requests a second, with windows of an hour.

    :param agreed: whether daemons know one another and so agree on who
        watches the lease closely.
    """
    world = UsageSimulation(random.Random(size), longest_pause=0.1, length=HOUR)
    for _ in range(size):
        world.start()
    if not agreed:
        for daemon in world.daemons.values():
            daemon.members.change([daemon.member])
    await asyncio.sleep(600)
    before = world.store.reads + world.store.writes
    for _ in range(STEADY_SECONDS // 60):
        await asyncio.sleep(60)
        for name in world.daemons:
            world.count(name)
    requests = world.store.reads + world.store.writes - before
    for daemon in world.daemons.values():
        daemon.end()
    return requests / STEADY_SECONDS


async def measure_store() -> list[Figure]:
    """Measure store requests at three sizes and their slope."""
    rates = [await run_apart(run_steady(size)) for size in SIZES]
    close = [
        await run_apart(run_steady(size, agreed=False)) for size in SIZES[:2]
    ]
    slope = (rates[-1] - rates[0]) / (SIZES[-1] - SIZES[0])
    listed = ', '.join(
        f'{size}: {rate:.3f}' for size, rate in zip(SIZES, rates, strict=True)
    )
    return [
        Figure(
            'lease_store_requests_per_s',
            rates[0],
            'requests/s at 9 daemons',
            SHOWN,
            detail=f'lease on usage and its rows; {listed}',
        ),
        Figure(
            'lease_store_requests_slope',
            slope,
            'requests/s a daemon',
            at_most(0.02),
            baseline=(close[1] - close[0]) / (SIZES[1] - SIZES[0]),
            detail='baseline: each daemon watching the lease closely',
        ),
    ]
