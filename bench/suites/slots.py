"""Who may use an upstream's slots: three policies, same seeds."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial

from hdrh.histogram import HdrHistogram

from bench.figure import Figure, at_least, at_most
from bench.slot_world import Job, Plan, World
from bench.virtual_time import run_virtual
from quetzalcourse.state.generation import TrafficClass

FIGURES = (
    'human_p99_ratio',
    'worst_account_share',
    'engine_queue_max',
    'slots_recovery_s',
    'skewed_use_ratio',
)
POLICIES = ('owner', 'alone', 'fixed')
SMALL = Plan('owner', daemons=3, engines=6, slots=16, headroom=4)
MICROSECONDS = 1_000_000
HIGHEST = 1000 * MICROSECONDS
HUMAN_PREFILL = 0.1
HUMAN_SECONDS = 200.0
HUMANS_PER_SECOND = 10.0
TRAINING_DEPTH = 300
SHARE_SECONDS = 120.0
WARM_SECONDS = 20.0
BUSY_SHARE = 0.95
SKEW_SAMPLES = 200
TERMS_LIMIT = 15.0


async def measure() -> list[Figure]:
    """Measure every policy in virtual time."""
    return await asyncio.to_thread(measure_all)


def measure_all() -> list[Figure]:
    """Measure every policy, one after another."""
    return [
        *measure_humans(),
        measure_shares(),
        measure_recovery(),
        measure_skew(),
    ]


def measure_humans() -> list[Figure]:
    """Compare humans' time to first byte with training and without."""
    ratios = {}
    queues = {}
    details = []
    for policy in POLICIES:
        plan = replace(SMALL, policy=policy)
        quiet, _ = run_virtual(partial(time_humans, plan, 0))
        busy, queues[policy] = run_virtual(
            partial(time_humans, plan, TRAINING_DEPTH)
        )
        ratios[policy] = read_ratio(busy, quiet, 99)
        tail = read_ratio(busy, quiet, 99.9)
        details.append(f'{policy} p99 {ratios[policy]:.2f} p99.9 {tail:.2f}')
    return [
        Figure(
            'human_p99_ratio',
            ratios['owner'],
            'ratio',
            at_most(1.3),
            min(ratios['alone'], ratios['fixed']),
            '; '.join(details),
        ),
        Figure(
            'engine_queue_max',
            queues['owner'],
            'requests',
            at_most(0),
            queues['alone'],
            f'baseline alone; fixed {queues["fixed"]}',
        ),
    ]


def read_ratio(
    busy: HdrHistogram,
    quiet: HdrHistogram,
    percentile: float,
) -> float:
    """Divide one percentile of two histograms."""
    return busy.get_value_at_percentile(
        percentile
    ) / quiet.get_value_at_percentile(percentile)


async def time_humans(plan: Plan, training: int) -> tuple[HdrHistogram, int]:
    """Time the humans' first bytes.

    :param training: training requests that are in the system at any time.
    """
    world = World(plan)
    histogram = HdrHistogram(1, HIGHEST, 3)
    for _ in range(training):
        keep_training(world, 'trainer')
    loop = asyncio.get_running_loop()
    await asyncio.sleep(WARM_SECONDS)
    begin = loop.time()
    humans = []
    while loop.time() < begin + HUMAN_SECONDS:
        await asyncio.sleep(world.random.expovariate(HUMANS_PER_SECOND))
        tokens = world.random.randint(50, 350)
        humans.append(Job('readers', TrafficClass.human, tokens, HUMAN_PREFILL))
        world.submit(humans[-1])
    await asyncio.sleep(WARM_SECONDS)
    await world.stop()
    for job in humans:
        first = job.first_byte or loop.time()
        histogram.record_value(int((first - job.arrived) * MICROSECONDS))
    return histogram, world.find_queue_max()


def keep_training(world: World, account: str, prefill: float = 0.2) -> None:
    """Send a training job, and another whenever one has ended."""
    tokens = world.random.randint(100, 700)
    job = Job(account, TrafficClass.training, tokens, prefill)

    async def follow() -> None:
        await world.submit(job)
        keep_training(world, account, prefill)

    task = asyncio.get_running_loop().create_task(follow())
    world.tasks.add(task)
    task.add_done_callback(world.tasks.discard)


def measure_shares() -> Figure:
    """Compare the worst-served account's tokens with its fair share."""
    shares = {
        policy: run_virtual(partial(flood, replace(SMALL, policy=policy)))
        for policy in POLICIES
    }
    return Figure(
        'worst_account_share',
        shares['owner'],
        'ratio',
        at_least(0.9),
        max(shares['alone'], shares['fixed']),
        '; '.join(f'{name} {share:.3f}' for name, share in shares.items()),
    )


async def flood(plan: Plan) -> float:
    """Let one account ask for ten times its share, through one daemon.

    The others ask for a little more than theirs; one has long prompts, so
    that equal slots would not be equal tokens.
    """
    names = ('flood', 'first', 'second', 'long')
    world = World(replace(plan, accounts=names))
    slots = plan.engines * plan.slots
    for name in names:
        depth = slots // len(names) * (10 if name == 'flood' else 2)
        for _ in range(depth):
            keep_training(world, name, 1.5 if name == 'long' else 0.1)
    await asyncio.sleep(WARM_SECONDS * 2)
    before = {name: count_tokens(world, name) for name in names}
    await asyncio.sleep(SHARE_SECONDS)
    served = {name: count_tokens(world, name) - before[name] for name in names}
    await world.stop()
    return min(served.values()) / (sum(served.values()) / len(names))


def count_tokens(world: World, account: str) -> int:
    """Count the tokens that an account got."""
    return sum(job.made for job in world.jobs if job.account == account)


def measure_recovery() -> Figure:
    """Time how long slots stay unused after an owner died."""
    results = {
        policy: run_virtual(partial(recover, replace(SMALL, policy=policy)))
        for policy in POLICIES
    }
    return Figure(
        'slots_recovery_s',
        results['owner'][0],
        's',
        at_most(TERMS_LIMIT),
        results['fixed'][0],
        '; '.join(
            f'{name} {seconds:.1f} s, engine queue {queue}'
            for name, (seconds, queue) in results.items()
        ),
    )


async def recover(plan: Plan) -> tuple[float, int]:
    """Kill a daemon under load.

    :returns: time until the slots are in use again, and the longest queue
        inside an engine.
    """
    world = World(plan)
    for _ in range(TRAINING_DEPTH):
        keep_training(world, 'trainer')
    await asyncio.sleep(WARM_SECONDS)
    usable = plan.slots - plan.headroom
    wanted = plan.engines * usable * BUSY_SHARE
    loop = asyncio.get_running_loop()
    death = loop.time()
    killing = loop.create_task(world.kill(0))
    last = death
    while loop.time() < death + 60:
        await asyncio.sleep(0.1)
        if world.count_busy() < wanted:
            last = loop.time()
    await killing
    queue = world.find_queue_max()
    await world.stop()
    return last - death, queue


def measure_skew() -> Figure:
    """Measure how many slots a step gets that one daemon runs."""
    shares = {
        policy: run_virtual(partial(skew, replace(SMALL, policy=policy)))
        for policy in POLICIES
    }
    return Figure(
        'skewed_use_ratio',
        shares['owner'],
        'ratio',
        at_least(0.95),
        shares['fixed'],
        'baseline fixed; '
        + '; '.join(f'{name} {share:.3f}' for name, share in shares.items()),
    )


async def skew(plan: Plan) -> float:
    """Send all training to one daemon.

    :returns: slots in use over those that training may use.
    """
    world = World(plan)
    world.live = world.live[:1]
    for _ in range(TRAINING_DEPTH):
        keep_training(world, 'trainer')
    await asyncio.sleep(WARM_SECONDS)
    samples = []
    for _ in range(SKEW_SAMPLES):
        await asyncio.sleep(0.1)
        samples.append(world.count_busy())
    await world.stop()
    usable = plan.engines * (plan.slots - plan.headroom)
    return sum(samples) / len(samples) / usable
