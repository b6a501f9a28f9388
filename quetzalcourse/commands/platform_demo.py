"""``quetzalctl demo --platform``: two daemons on a simulated platform."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.commands.output import write_table
from quetzalcourse.exceptions import AbortError
from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.cluster import RolloutCluster, build_batch

if TYPE_CHECKING:
    DemoRow = tuple[str, str, str]

LOOKUPS = 8
ITEMS = [f'item-{number}' for number in range(24)]
NAMED_VERSION = 2
# Slows generation down, so that requests are still running when the demo
# stops the owner of their batch.
SLOWDOWN_FACTOR = 4
DELAY_BEFORE_STOP = timedelta(milliseconds=300)
VERSION_SECONDS = 10
POLL_SECONDS = 0.05
OK = 200
ACCEPTED = 202


async def show_platform() -> int:
    """Run requests, a weight update, a batch and usage; print the results."""
    world = RolloutCluster(daemons=2)
    await world.start()
    try:
        rows = [
            await _look_up(world),
            await _load_version(world),
            await _run_batch(world),
            await _count_usage(world),
        ]
    finally:
        await world.stop()
    write_table(('what', 'asked', 'got'), rows)
    return 0


async def _look_up(world: RolloutCluster) -> DemoRow:
    replies = [
        await world.caller.call(
            world.address(number % 2),
            'POST',
            documents.LOOKUP_PREFIX,
            b'shelf 7',
            request_id=f'lookup-{number}',
        )
        for number in range(LOOKUPS)
    ]
    served = sum(reply.status == OK for reply in replies)
    return ('lookups through both daemons', str(LOOKUPS), f'{served} served')


async def _load_version(world: RolloutCluster) -> DemoRow:
    await world.store.write(
        'op',
        f'version/{documents.MODEL}',
        {'model': documents.MODEL, 'version': NAMED_VERSION},
    )
    async with asyncio.timeout(VERSION_SECONDS):
        while not _count_loaded(world):
            await asyncio.sleep(POLL_SECONDS)
    loaded = f'{_count_loaded(world)} of {len(world.engines)} servers so far'
    return ('weights named by a trainer', f'version {NAMED_VERSION}', loaded)


def _count_loaded(world: RolloutCluster) -> int:
    return sum(
        engine.state.versions[documents.MODEL] == NAMED_VERSION
        for engine in world.engines
    )


async def _run_batch(world: RolloutCluster) -> DemoRow:
    for engine in world.engines:
        engine.faults.slowdown = SLOWDOWN_FACTOR
    batch = build_batch(ITEMS, scored=True, min_version=NAMED_VERSION)
    reply = await world.caller.submit(world.address(), 'batch-1', batch)
    if reply.status != ACCEPTED:
        raise AbortError(f'batch-1: status {reply.status}')
    await asyncio.sleep(DELAY_BEFORE_STOP.total_seconds())
    await world.end_daemon(world.daemons[0])
    results = await world.caller.read_all(world.address(1), 'batch-1')
    versions = sorted({one for each in results for one in each['versions']})
    scored = sum('score' in each for each in results)
    return (
        'batch whose daemon was ended midway',
        f'{len(ITEMS)} items',
        f'{len(results)} results at the other one, {scored} with a score,'
        f' versions {versions}',
    )


async def _count_usage(world: RolloutCluster) -> DemoRow:
    async with asyncio.timeout(documents.WINDOW_SECONDS * 5):
        while not any(report.counts for report in world.cloud.reports):
            await asyncio.sleep(POLL_SECONDS)
    counts: dict[int, int] = {
        report.window: sum(report.counts.values())
        for report in world.cloud.reports
    }
    reported = f'{sum(counts.values())} requests in {len(counts)} windows'
    return ('usage reports', documents.ACCOUNT, reported)
