"""What granting slots costs a daemon, at three sizes."""

from __future__ import annotations

import asyncio
from functools import partial

from bench.figure import SHOWN, Figure, at_most
from bench.slot_world import Job, Plan, World
from bench.virtual_time import run_virtual
from quetzalcourse.state.generation import TrafficClass

FIGURES = ('slot_bytes_per_s', 'slot_cpu_share')
BYTES_LIMIT = 4096.0
SIZES = ((9, 23), (25, 64), (50, 127))
REQUESTS_PER_DAEMON = 46.0
HUMAN_SHARE = 0.5
SECONDS = 5.0


async def measure() -> list[Figure]:
    """Measure bytes and processor time in virtual time."""
    return await asyncio.to_thread(measure_sizes)


def measure_sizes() -> list[Figure]:
    """Measure each size and the slope between the smallest and largest."""
    costs = [
        run_virtual(partial(count_costs, daemons, engines))
        for daemons, engines in SIZES
    ]
    return [
        make_figure('slot_bytes_per_s', 'B/s', [cost[0] for cost in costs]),
        make_figure('slot_cpu_share', 'of a core', [cost[1] for cost in costs]),
    ]


def make_figure(name: str, unit: str, rates: list[float]) -> Figure:
    """Make the figure of the largest size, with the others beside it."""
    small, large = SIZES[0][0], SIZES[-1][0]
    slope = (rates[-1] - rates[0]) / (large - small)
    detail = ', '.join(
        f'{daemons} daemons {rate:.4g}'
        for (daemons, _), rate in zip(SIZES, rates, strict=True)
    )
    bound = at_most(BYTES_LIMIT) if unit == 'B/s' else SHOWN
    return Figure(
        name,
        rates[-1],
        unit,
        bound,
        rates[0],
        f'a daemon, baseline the smallest size; {detail}; '
        f'{slope:.3g} for each further daemon',
    )


async def count_costs(daemons: int, engines: int) -> tuple[float, float]:
    """Count what one daemon spends on slots at a size.

    :returns: bytes sent and received a second, and seconds of the processor
        a second in handling messages and in renewals.
    """
    world = World(Plan('owner', daemons, engines, slots=64, headroom=6, seed=2))
    loop = asyncio.get_running_loop()
    offering = loop.create_task(offer(world, REQUESTS_PER_DAEMON * daemons))
    await asyncio.sleep(SECONDS)
    sent = sum(world.network.bytes.values())
    spent = world.network.seconds
    await asyncio.sleep(SECONDS)
    sent = sum(world.network.bytes.values()) - sent
    spent = world.network.seconds - spent
    offering.cancel()
    await world.stop()
    return sent / SECONDS / daemons, spent / SECONDS / daemons


async def offer(world: World, rate: float) -> None:
    """Send requests at a rate, as the balancer would spread them."""
    while True:
        await asyncio.sleep(world.random.expovariate(rate))
        human = world.random.random() < HUMAN_SHARE
        traffic_class = TrafficClass.training
        if human:
            traffic_class = TrafficClass.human
        tokens = world.random.randint(60, 460)
        world.submit(Job('readers', traffic_class, tokens, 0.1))
