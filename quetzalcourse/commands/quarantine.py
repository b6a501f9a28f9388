"""``quetzalctl quarantine``: list and lift quarantines of requests."""

from __future__ import annotations

import argparse
from dataclasses import asdict, dataclass
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Any

from result import Err

from quetzalcourse.commands.output import write_json, write_line, write_table
from quetzalcourse.coordination.quarantine.quarantine_store import (
    PREFIX,
    read_row,
)
from quetzalcourse.exceptions import AbortError
from quetzalcourse.loop import run_loop
from quetzalcourse.platform.deployment import PlatformDeployment
from quetzalcourse.platform.settings import load_file
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.rows import Transaction, Write
from quetzalcourse.transport.clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.deployment import StoreClients

    Action = Callable[[StoreClients, argparse.Namespace], Awaitable[int]]

EXIT_NOT_FOUND = 1
MILLISECOND = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A quarantined request in the command's output.

    :param age_seconds: time since it was quarantined, or since its last trial
        started.
    :param trials: number of trials started.
    :param upstreams: names of upstreams that crashed while running it.
    """

    fingerprint: str
    age_seconds: int
    trials: int
    upstreams: list[str]


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        'quarantine', help='list and lift quarantines of requests'
    )
    actions = parser.add_subparsers(metavar='ACTION', required=True)
    listing = actions.add_parser('list', help='list quarantined requests')
    listing.add_argument('--json', action='store_true')
    listing.set_defaults(run=run, action=list_requests)
    lift = actions.add_parser('lift', help='let a request run again')
    lift.add_argument('fingerprint', metavar='FINGERPRINT')
    lift.set_defaults(run=run, action=lift_request)
    for action in (listing, lift):
        action.add_argument(
            '--platform-settings',
            type=Path,
            required=True,
            metavar='FILE',
            help='settings file that the platform writes',
        )


def run(options: argparse.Namespace) -> int:
    """Run an action on the platform's store.

    :returns: exit code, 0 for success.
    :raises AbortError: if the settings are invalid or the store fails.
    """
    return run_loop(run_action(options.action, options))


async def run_action(action: Action, options: argparse.Namespace) -> int:
    """Open the store for the duration of an action.

    :raises AbortError: if the settings are invalid.
    """
    loaded = load_file(options.platform_settings)
    if isinstance(loaded, Err):
        raise AbortError(f'{options.platform_settings}: {loaded.err_value}')
    deployment = PlatformDeployment(loaded.ok_value)
    store = deployment.open_store(SystemClock(), Counters())
    try:
        return await action(store, options)
    finally:
        await deployment.close()


async def list_requests(
    store: StoreClients, options: argparse.Namespace
) -> int:
    """Print the quarantined requests."""
    found = await read_requests(store)
    if options.json:
        write_json({'quarantined': [asdict(request) for request in found]})
        return 0
    header = ('FINGERPRINT', 'AGE', 'TRIALS', 'UPSTREAMS')
    write_table(
        header,
        [
            (
                request.fingerprint,
                f'{request.age_seconds} s',
                str(request.trials),
                ' '.join(request.upstreams),
            )
            for request in found
        ],
    )
    return 0


async def lift_request(store: StoreClients, options: argparse.Namespace) -> int:
    """Delete a request's quarantine row, whose table all daemons follow.

    :returns: exit code, 0 if the request was quarantined.
    """
    found = await read_requests(store)
    if options.fingerprint not in {request.fingerprint for request in found}:
        write_line(f'{options.fingerprint} is not quarantined')
        return EXIT_NOT_FOUND
    await _remove(store.table, options.fingerprint)
    write_line(f'{options.fingerprint} may run again')
    return 0


async def read_requests(store: StoreClients) -> list[QuarantinedRequest]:
    """Read the quarantined requests.

    :raises AbortError: if the store fails.
    """
    answer = await store.table.scan(PREFIX)
    if isinstance(answer, Err):
        raise AbortError(f'the store does not answer: {answer.err_value.step}')
    now = store.clock.estimate() or timedelta(0)
    found = []
    for row in answer.ok_value:
        known = read_row(row)
        if known is not None:
            found.append(
                QuarantinedRequest(
                    row.key.removeprefix(PREFIX),
                    (now // MILLISECOND - known.since_ms) // 1000,
                    known.trials,
                    known.upstreams,
                )
            )
    return found


async def _remove(table: Table, fingerprint: str) -> None:
    key = f'{PREFIX}{fingerprint}'
    answer = await table.transact(Transaction((), (Write(key, None),)))
    if isinstance(answer, Err):
        raise AbortError(f'the store does not answer: {answer.err_value.step}')
