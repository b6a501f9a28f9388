"""``quetzalctl report burn``: burn rates of the error budgets."""

from __future__ import annotations

import argparse
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
from result import Err

from quetzalcourse.commands.burn_page import render_page
from quetzalcourse.commands.output import write_json, write_line, write_table
from quetzalcourse.commands.platform import open_platform
from quetzalcourse.coordination.service_levels.burn import (
    LevelBurn,
    LevelEvents,
    compute_burns,
)
from quetzalcourse.coordination.service_levels.daily_event_sums import read_sums
from quetzalcourse.exceptions import AbortError
from quetzalcourse.loop import run_loop
from quetzalcourse.protocol.exposition import read_events
from quetzalcourse.settings.manifest import load_manifest
from quetzalcourse.state.service_levels import Window
from quetzalcourse.transport.connections import open_session

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.state.manifest import ServiceLevel

TIMEOUT_SECONDS = 5.0
HEADER = (
    'service level',
    'objective',
    'events',
    'budget left',
    *(f'burn {window.value}' for window in Window),
    'alert',
    'worst account',
)


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser('report', help='reports for operators')
    reports = parser.add_subparsers(metavar='REPORT', required=True)
    burn = reports.add_parser('burn', help='burn rates of the error budgets')
    burn.add_argument('--manifest', type=Path, required=True, metavar='FILE')
    burn.add_argument(
        '--daemon',
        action='append',
        required=True,
        metavar='IP:PORT',
        help='address of a daemon for callers; repeat for each daemon',
    )
    burn.add_argument(
        '--platform',
        metavar='IP:PORT',
        help='count the budget over its whole period, from the table',
    )
    burn.add_argument('--json', action='store_true')
    burn.add_argument('--html', type=Path, metavar='FILE')
    burn.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the burn rates of every service level of a manifest.

    :raises AbortError: if the manifest is invalid or no daemon responds.
    """
    loaded = load_manifest(options.manifest)
    if isinstance(loaded, Err):
        raise AbortError('\n'.join(str(fault) for fault in loaded.err_value))
    levels = list(loaded.ok_value.service_levels.values())
    return run_loop(_report(options, levels))


async def _report(
    options: argparse.Namespace,
    levels: list[ServiceLevel],
) -> int:
    events: dict[str, LevelEvents] = {}
    unreachable = await collect_events(options.daemon, events)
    if len(unreachable) == len(options.daemon):
        raise AbortError(f'no daemon answers: {", ".join(unreachable)}')
    if options.platform:
        await replace_accounts(options.platform, levels, events)
    burns = compute_burns(levels, events)
    if options.html:
        options.html.write_text(render_page(burns, unreachable))
    if options.json:
        write_json(build_document(burns, unreachable))
    else:
        print_burns(burns, unreachable)
    return 0


async def replace_accounts(
    address: str,
    levels: Sequence[ServiceLevel],
    events: dict[str, LevelEvents],
) -> None:
    """Replace the events of accounts by those from the platform's table.

    The table also has the events of daemons that have ended.

    :param address: address of the platform's services.
    :param events: events by service level, changed in place.
    :raises AbortError: if the table cannot be read.
    """
    today = datetime.now(UTC).date()
    async with open_platform(address) as platform:
        answer = await read_sums(platform, levels, today)
    if isinstance(answer, Err):
        fault = answer.err_value
        raise AbortError(f'{fault.step} at {fault.peer}: {fault.kind.value}')
    for level in levels:
        summed = answer.ok_value.get(level.name, LevelEvents())
        entry = events.setdefault(level.name, LevelEvents())
        entry.client_accounts = summed.client_accounts


async def collect_events(
    daemons: Sequence[str],
    events: dict[str, LevelEvents],
) -> list[str]:
    """Sum the events of all daemons that respond.

    :param daemons: addresses for callers.
    :param events: events by service level, added to in place.
    :returns: daemons that did not respond.
    """
    unreachable = []
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    async with open_session(timeout=timeout) as session:
        for daemon in daemons:
            url = f'http://{daemon}/metrics'
            try:
                async with session.get(url) as answer:
                    read_events(await answer.text(), events)
            except (aiohttp.ClientError, TimeoutError):
                unreachable.append(daemon)
    return unreachable


def print_burns(burns: Sequence[LevelBurn], unreachable: Sequence[str]) -> None:
    """Print the burn rates as a table.

    :param unreachable: daemons whose events are missing.
    """
    write_table(HEADER, [format_burn(burn) for burn in burns])
    for daemon in unreachable:
        write_line(f'no answer from {daemon}: its events are missing')


def format_burn(burn: LevelBurn) -> list[str]:
    """Format the burn rates of a service level as a table row."""
    worst = '-'
    if burn.worst_account:
        worst = f'{burn.worst_account} ({burn.worst_share:.2%} good)'
    return [
        burn.service_level,
        f'{burn.objective:.2%}',
        f'{burn.events.total:.0f}',
        f'{burn.budget_left:.1%}',
        *(f'{burn.rates[window]:.2f}' for window in Window),
        burn.alert.value,
        worst,
    ]


def build_document(
    burns: Sequence[LevelBurn],
    unreachable: Sequence[str],
) -> dict[str, Any]:
    """Build the JSON document of the report."""
    return {
        'service_levels': [
            {
                'name': burn.service_level,
                'indicator': burn.indicator,
                'objective': burn.objective,
                'good': burn.events.good,
                'bad': burn.events.bad,
                'budget_left': burn.budget_left,
                'burn_rates': {
                    window.value: rate for window, rate in burn.rates.items()
                },
                'alert': burn.alert.value,
                'worst_account': burn.worst_account,
                'worst_account_good_share': burn.worst_share,
            }
            for burn in burns
        ],
        'silent_daemons': list(unreachable),
    }
