"""What an open step costs in reads, and how long a takeover takes."""

from __future__ import annotations

import asyncio

from bench.figure import Figure, at_most
from quetzalcourse.coordination.leases.lease import decode_record
from quetzalcourse.protocol.platform import unpack_row
from quetzalcourse.standins.scripted_generation import ScriptedEngine
from quetzalcourse.standins.virtual_time import run_virtual
from quetzalcourse.tests.step_schedules import plan_length
from quetzalcourse.tests.step_simulation import (
    TRAINER,
    StepSimulation,
    build_spec,
    list_prompts,
)

FIGURES = ('step_watch_reads_per_s', 'step_takeover_s')
FEW_DAEMONS = 9
MANY_DAEMONS = 50
WATCHED_SECONDS = 60
TAKEOVERS = 20
TAKEOVER_LIMIT = 12.0
LOOK_SECONDS = 0.1


async def measure() -> list[Figure]:
    """Watch a step that can't end, and kill its runner again and again."""
    few = await asyncio.to_thread(run_virtual, count_reads(FEW_DAEMONS))
    many = await asyncio.to_thread(run_virtual, count_reads(MANY_DAEMONS))
    taken = await asyncio.to_thread(run_virtual, time_takeovers())
    return [
        Figure(
            'step_watch_reads_per_s',
            many,
            f'reads/s, one step, {MANY_DAEMONS} daemons',
            at_most(few * 1.1),
            detail=f'{few:.2f} at {FEW_DAEMONS} daemons',
        ),
        Figure(
            'step_takeover_s',
            max(taken),
            's, longest',
            at_most(TAKEOVER_LIMIT),
            detail=f'mean {sum(taken) / len(taken):.1f} of {len(taken)}',
        ),
    ]


async def start_stuck(daemons: int) -> StepSimulation:
    """Start a step that no engine can run."""
    world = StepSimulation(1, [ScriptedEngine('engine', 1)], plan_length)
    world.generation.refuse_next = 10**9
    for _ in range(daemons):
        world.start_daemon()
    spec = build_spec()
    steps = world.daemons[0].steps
    (await steps.create(spec, list_prompts(spec))).unwrap()
    await asyncio.sleep(WATCHED_SECONDS)
    return world


async def count_reads(daemons: int) -> float:
    """Count the reads of all daemons while nothing happens."""
    world = await start_stuck(daemons)
    before = world.platform.reads
    await asyncio.sleep(WATCHED_SECONDS)
    reads = world.platform.reads - before
    await world.stop()
    return reads / WATCHED_SECONDS


async def time_takeovers() -> list[float]:
    """Kill whoever runs the step, and time until another does."""
    world = await start_stuck(FEW_DAEMONS)
    loop = asyncio.get_running_loop()
    taken = []
    for _ in range(TAKEOVERS):
        holder = await find_holder(world)
        for daemon in tuple(world.daemons):
            if daemon.member.incarnation == holder:
                world.kill(daemon)
        world.start_daemon()
        killed = loop.time()
        while await find_holder(world) in {holder, ''}:
            await asyncio.sleep(LOOK_SECONDS)
        taken.append(loop.time() - killed)
        await asyncio.sleep(world.random.uniform(5, 15))
    await world.stop()
    return taken


async def find_holder(world: StepSimulation) -> str:
    """Tell who holds the step's lease."""
    row = world.platform.table.read(f'lease/step/{TRAINER}/{1:012d}')
    if row is None:
        return ''
    return decode_record(unpack_row(row)).holder.partition(':')[0]
