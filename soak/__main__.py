"""``python -m soak``: play seeded faults against real daemons."""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
from pathlib import Path

from quetzalcourse.log import configure_log
from quetzalcourse.loop import run_loop
from soak.checks import (
    check_batches,
    check_cold_starts,
    check_orders,
    check_poison,
    check_requests,
    check_usage,
)
from soak.faults import FaultSeries
from soak.world import SoakWorld

# After the last fault a batch may wait for a takeover, a reload and a retry.
FINISH_SECONDS = 25.0
# After that a daemon knows what the others and the store do.
SETTLE_SECONDS = 3.0
READERS = 2


async def play(
    seed: int,
    options: argparse.Namespace,
    folder: Path,
) -> list[str]:
    """Play one seed.

    :returns: the promises that were broken.
    """
    world = SoakWorld(folder, options.daemons, seed)
    world.poisoned = options.poison
    series = FaultSeries(world, seed, places=options.places)
    try:
        await play_world(world, series, options.seconds)
    finally:
        await world.stop()
        (folder / 'faults.log').write_text('\n'.join(series.log))
    return check_world(world)


async def play_world(
    world: SoakWorld,
    series: FaultSeries,
    seconds: float,
) -> None:
    """Call and harm a world for a while, then let it come to rest."""
    await world.start()
    stop = asyncio.Event()
    callers = world.callers
    parts = [callers.look_up(stop), callers.train(stop)]
    parts += [callers.read(stop) for _ in range(READERS)]
    if world.poisoned:
        parts.append(callers.send_poison(stop))
    running = asyncio.gather(*parts, series.run(stop))
    await asyncio.sleep(seconds)
    stop.set()
    await running
    await callers.finish(FINISH_SECONDS)
    if world.poisoned:
        await asyncio.sleep(SETTLE_SECONDS)
        world.ends_at_rest = world.count_ends()
        await callers.probe_poison()


def check_world(world: SoakWorld) -> list[str]:
    """List the promises that were broken."""
    runs = world.list_runs()
    faults = check_requests(world.callers.told, runs)
    faults += check_batches(world.callers.batches, runs)
    faults += check_orders(world.list_servers())
    faults += check_cold_starts(world.list_servers())
    faults += check_usage(world.cloud.reports)
    faults += check_poison(
        world.ends_at_rest,
        world.count_ends(),
        sum(daemon.starts for daemon in world.daemons),
    )
    faults += [
        f'{daemon.name} ended by itself with {codes}'
        for daemon in world.daemons
        if (codes := daemon.unexpected)
    ]
    return faults


def describe(world_faults: list[str], seed: int, folder: Path) -> str:
    """Write the outcome of one seed."""
    if not world_faults:
        return f'seed {seed}: kept'
    shown = '\n  '.join(world_faults[:10])
    return f'seed {seed}: BROKEN, logs in {folder}\n  {shown}'


async def run(options: argparse.Namespace) -> int:
    """Play seeds one after another.

    :returns: 1 if a promise was broken.
    """
    broken = 0
    for seed in options.seeds or [random.randrange(10**6)]:
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        faults = await play(seed, options, folder)
        sys.stdout.write(describe(faults, seed, folder) + '\n')
        sys.stdout.flush()
        broken += bool(faults)
    count = len(options.seeds or [0])
    sys.stdout.write(f'{count - broken} passed, {broken} failed\n')
    return 1 if broken else 0


def main() -> int:
    """Read the command line and play."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='*', metavar='SEED')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--daemons', type=int, default=4)
    parser.add_argument(
        '--places',
        action='store_true',
        help='also evacuate data centres and let servers come back cold',
    )
    parser.add_argument(
        '--poison',
        action='store_true',
        help='also send requests that end the servers which run them',
    )
    options = parser.parse_args()
    configure_log('error', 'console')
    return run_loop(run(options))


if __name__ == '__main__':
    raise SystemExit(main())
