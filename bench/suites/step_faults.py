"""A thousand seeded schedules of faults: nothing lost, twice or wrong."""

from __future__ import annotations

import asyncio

from bench.figure import SHOWN, Figure, at_least, at_most
from quetzalcourse.standins.virtual_time import run_virtual
from quetzalcourse.tests.step_schedules import Schedule, ScheduleOutcome

FIGURES = ('step_schedules', 'step_schedules_broken', 'step_schedule_seconds')
FIRST_SEED = 1000
SCHEDULES = 1000
SHOWN_SEEDS = 5


async def measure() -> list[Figure]:
    """Run every schedule in its own virtual time."""
    outcomes = await asyncio.to_thread(run_all)
    broken = [outcome for outcome in outcomes if outcome.faults]
    seeds = [str(outcome.seed) for outcome in broken[:SHOWN_SEEDS]]
    dropped = sum(outcome.dropped for outcome in outcomes)
    events = sum(len(outcome.log) for outcome in outcomes)
    longest = max(outcome.seconds for outcome in outcomes)
    return [
        Figure(
            'step_schedules',
            len(outcomes),
            'schedules',
            at_least(SCHEDULES),
            detail=f'{events} faults, {dropped:.0f} dropped at reading',
        ),
        Figure(
            'step_schedules_broken',
            len(broken),
            'schedules',
            at_most(0),
            detail=f'seeds {" ".join(seeds)}' if seeds else '',
        ),
        Figure('step_schedule_seconds', longest, 's, longest', SHOWN),
    ]


def run_all() -> list[ScheduleOutcome]:
    """Run the schedules one after another."""
    seeds = range(FIRST_SEED, FIRST_SEED + SCHEDULES)
    return [run_virtual(run_one(seed)) for seed in seeds]


async def run_one(seed: int) -> ScheduleOutcome:
    """Run one schedule."""
    return await Schedule(seed).run()
