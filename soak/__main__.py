"""``python -m soak``: inject seeded faults into running daemons."""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path

from quetzalcourse.log import configure_log
from quetzalcourse.loop import run_loop
from soak.bursts import (
    FINAL_BURST_SECONDS,
    check_burst,
    count_refusals,
)
from soak.checks import (
    check_batches,
    check_billing,
    check_cold_starts,
    check_ended_batches,
    check_fencing_tokens,
    check_poison,
    check_requests,
    check_slots,
    check_usage,
)
from soak.deployment import SoakDeployment
from soak.faults import FaultSeries
from soak.slots import await_released_slots

# After the last fault a batch may still wait for a lease takeover, a weight
# reload and a retry.
DRAIN_TIMEOUT_SECONDS = 25.0
# By then each daemon has the state of its peers and of the store.
SETTLE_SECONDS = 3.0
# A batch whose end no daemon acknowledged runs until it is complete.
RELEASE_TIMEOUT_SECONDS = 15.0
READER_COUNT = 2


async def run_seed(
    seed: int,
    options: argparse.Namespace,
    folder: Path,
) -> list[str]:
    """Run the soak with one seed.

    :returns: the violated guarantees.
    """
    deployment = SoakDeployment(folder, options.daemons, seed)
    deployment.poison_enabled = options.poison
    deployment.bursts_enabled = options.load
    deployment.leaving_enabled = options.leave
    fault_series = FaultSeries(
        deployment,
        seed,
        data_centre_faults=options.places,
        foreign_faults=options.foreign,
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
    """Run load and faults for some seconds, then wait for open batches."""
    await deployment.start()
    stop = asyncio.Event()
    callers = deployment.callers
    clients = [callers.send_lookups(stop), callers.submit_batches(stop)]
    clients += [callers.read_batches(stop) for _ in range(READER_COUNT)]
    if deployment.poison_enabled:
        clients.append(callers.send_poison_requests(stop))
    if deployment.bursts_enabled:
        clients.append(deployment.burst_callers.send_bursts(stop))
    if deployment.leaving_enabled:
        clients.append(deployment.leaving_clients.run(stop))
    running = asyncio.gather(*clients, fault_series.run(stop))
    await asyncio.sleep(seconds)
    stop.set()
    await running
    deployment.calm_since = time.monotonic()
    await callers.read_remaining_batches(DRAIN_TIMEOUT_SECONDS)
    if deployment.poison_enabled:
        await asyncio.sleep(SETTLE_SECONDS)
        deployment.crashes_at_rest = deployment.count_crashes()
        await callers.probe_daemons_with_poison()
    if deployment.bursts_enabled:
        await asyncio.sleep(SETTLE_SECONDS)
        deployment.burst_violations = await check_final_burst(deployment)
    deployment.counted_slots = await await_released_slots(
        deployment.daemons, RELEASE_TIMEOUT_SECONDS
    )


async def check_final_burst(deployment: SoakDeployment) -> list[str]:
    """Send a burst without faults, and list what it violates."""
    burst_callers = deployment.burst_callers
    before = count_refusals(deployment.servers)
    await burst_callers.send_burst(FINAL_BURST_SECONDS)
    after = count_refusals(deployment.servers)
    return check_burst(before, after, burst_callers.asked, burst_callers.served)


def check_guarantees(deployment: SoakDeployment) -> list[str]:
    """List the violated guarantees."""
    runs = deployment.list_runs()
    outcomes = [
        *deployment.callers.request_outcomes,
        *deployment.burst_callers.outcomes,
    ]
    violations = check_requests(outcomes, runs)
    violations += deployment.burst_violations
    violations += check_batches(deployment.callers.batches, runs)
    violations += check_ended_batches(
        deployment.leaving_clients.batches, runs, deployment.calm_since
    )
    violations += check_slots(deployment.counted_slots)
    violations += check_fencing_tokens(deployment.list_servers())
    violations += check_cold_starts(deployment.list_servers())
    violations += check_usage(deployment.cloud.reports)
    violations += check_billing(
        deployment.cloud.reports,
        outcomes,
        [one for daemon in deployment.daemons for one in daemon.interruptions],
    )
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
    """Format the outcome of one seed."""
    if not violations:
        return f'seed {seed}: kept'
    shown = '\n  '.join(violations[:10])
    return f'seed {seed}: BROKEN, logs in {folder}\n  {shown}'


async def run_seeds(options: argparse.Namespace) -> int:
    """Run the seeds one after another.

    :returns: 1 if a guarantee was violated, else 0.
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
    """Parse the command line and run the soak."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='*', metavar='SEED')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--daemons', type=int, default=4)
    parser.add_argument(
        '--places',
        action='store_true',
        help='also evacuate data centres and replace servers by cold ones',
    )
    parser.add_argument(
        '--foreign',
        action='store_true',
        help='also write rows that no reader can use, and add broken servers',
    )
    parser.add_argument(
        '--poison',
        action='store_true',
        help='also send requests that crash the servers which run them',
    )
    parser.add_argument(
        '--load',
        action='store_true',
        help='also send bursts of several accounts beyond the slots of servers',
    )
    parser.add_argument(
        '--leave',
        action='store_true',
        help='also let clients end several open batches at the same time',
    )
    options = parser.parse_args()
    configure_log('error', 'console')
    return run_loop(run_seeds(options))


if __name__ == '__main__':
    raise SystemExit(main())
