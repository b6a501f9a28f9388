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
    check_fencing_tokens,
    check_poison,
    check_requests,
    check_usage,
)
from soak.deployment import SoakDeployment
from soak.faults import FaultSeries

# After the last fault a batch may wait for a takeover, a reload and a retry.
DRAIN_TIMEOUT_SECONDS = 25.0
# After that a daemon knows what the others and the store do.
SETTLE_SECONDS = 3.0
READER_COUNT = 2


async def run_seed(
    seed: int,
    options: argparse.Namespace,
    folder: Path,
) -> list[str]:
    """Play one seed.

    :returns: the promises that were broken.
    """
    deployment = SoakDeployment(folder, options.daemons, seed)
    deployment.poison_enabled = options.poison
    fault_series = FaultSeries(
        deployment, seed, data_centre_faults=options.places
    )
    try:
        await run_deployment(deployment, fault_series, options.seconds)
    finally:
        await deployment.stop()
        (folder / 'faults.log').write_text('\n'.join(fault_series.log))
    return check_guarantees(deployment)


async def run_deployment(
    deployment: SoakDeployment,
    fault_series: FaultSeries,
    seconds: float,
) -> None:
    """Call and harm a world for a while, then let it come to rest."""
    await deployment.start()
    stop = asyncio.Event()
    callers = deployment.callers
    clients = [callers.send_lookups(stop), callers.submit_batches(stop)]
    clients += [callers.read_batches(stop) for _ in range(READER_COUNT)]
    if deployment.poison_enabled:
        clients.append(callers.send_poison_requests(stop))
    running = asyncio.gather(*clients, fault_series.run(stop))
    await asyncio.sleep(seconds)
    stop.set()
    await running
    await callers.read_remaining_batches(DRAIN_TIMEOUT_SECONDS)
    if deployment.poison_enabled:
        await asyncio.sleep(SETTLE_SECONDS)
        deployment.crashes_at_rest = deployment.count_crashes()
        await callers.probe_daemons_with_poison()


def check_guarantees(deployment: SoakDeployment) -> list[str]:
    """List the promises that were broken."""
    runs = deployment.list_runs()
    violations = check_requests(deployment.callers.request_outcomes, runs)
    violations += check_batches(deployment.callers.batches, runs)
    violations += check_fencing_tokens(deployment.list_servers())
    violations += check_cold_starts(deployment.list_servers())
    violations += check_usage(deployment.cloud.reports)
    violations += check_poison(
        deployment.crashes_at_rest,
        deployment.count_crashes(),
        sum(daemon.starts for daemon in deployment.daemons),
    )
    violations += [
        f'{daemon.name} ended by itself with {codes}'
        for daemon in deployment.daemons
        if (codes := daemon.unexpected_exits)
    ]
    return violations


def format_outcome(violations: list[str], seed: int, folder: Path) -> str:
    """Write the outcome of one seed."""
    if not violations:
        return f'seed {seed}: kept'
    shown = '\n  '.join(violations[:10])
    return f'seed {seed}: BROKEN, logs in {folder}\n  {shown}'


async def run_seeds(options: argparse.Namespace) -> int:
    """Play seeds one after another.

    :returns: 1 if a promise was broken.
    """
    failed = 0
    for seed in options.seeds or [random.randrange(10**6)]:
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        violations = await run_seed(seed, options, folder)
        sys.stdout.write(format_outcome(violations, seed, folder) + '\n')
        sys.stdout.flush()
        failed += bool(violations)
    count = len(options.seeds or [0])
    sys.stdout.write(f'{count - failed} passed, {failed} failed\n')
    return 1 if failed else 0


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
    return run_loop(run_seeds(options))


if __name__ == '__main__':
    raise SystemExit(main())
