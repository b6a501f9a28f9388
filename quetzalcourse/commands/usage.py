"""``quetzalctl usage explain``: break a usage report down by daemon."""

from __future__ import annotations

import argparse
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from result import Err

from quetzalcourse.commands.output import write_json, write_line, write_table
from quetzalcourse.commands.platform import add_platform_option, open_platform
from quetzalcourse.coordination.usage.usage_reports import build_report_key
from quetzalcourse.coordination.usage.usage_rows import (
    build_row_key,
    decode_entries,
)
from quetzalcourse.exceptions import AbortError
from quetzalcourse.loop import run_loop
from quetzalcourse.state.usage import (
    UsageByKey,
    UsageFigures,
    UsageKey,
    UsageReportContent,
    add_entries,
    index_entries,
)

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import Table

HEADER = (
    'counted by',
    'window',
    'class',
    'upstreams',
    'requests',
    'prompt tokens',
    'generated tokens',
    'seconds',
)
MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Share:
    """Usage in a report that one daemon counted.

    :param window: window of the counts; for late counts it is earlier than
        that of the report.
    """

    incarnation: str
    window: str
    key: UsageKey
    figures: UsageFigures


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser('usage', help='inspect usage reports')
    actions = parser.add_subparsers(metavar='ACTION', required=True)
    explain = actions.add_parser(
        'explain', help='break a report down by the daemons that counted'
    )
    explain.add_argument('window', metavar='WINDOW', help='20260101T000000Z')
    explain.add_argument('account', metavar='ACCOUNT')
    explain.add_argument('--json', action='store_true')
    add_platform_option(explain)
    explain.set_defaults(run=run_explain)


def run_explain(options: argparse.Namespace) -> int:
    """Print the reported usage of an account for each daemon."""
    return run_loop(_explain(options))


async def explain_report(
    table: Table,
    window: str,
    account: str,
) -> tuple[UsageByKey, list[Share]]:
    """Read the figures of a report and the rows from which it was summed.

    :returns: the reported figures of the account, including late ones, and
        the shares of the daemons.
    :raises AbortError: if the table cannot be read or has no report.
    """
    answer = await table.read(build_report_key(window))
    if isinstance(answer, Err):
        raise AbortError(f"the platform's table gave no answer: {answer}")
    if answer.ok_value is None:
        raise AbortError(f'window {window} is not reported')
    report = msgspec.json.decode(
        answer.ok_value.content, type=UsageReportContent
    )
    reported = index_entries(report.entries)
    shares = []
    for incarnation in report.sources:
        row = await table.read(build_row_key(window, incarnation))
        if isinstance(row, Err):
            raise AbortError(f"the platform's table gave no answer: {row}")
        counted = decode_entries(row.ok_value)
        shares.extend(list_shares(incarnation, window, counted))
    for late in report.late:
        counted = index_entries(late.entries)
        reported = add_entries(reported, counted)
        shares.extend(list_shares(late.incarnation, late.window, counted))
    return (
        {
            key: figures
            for key, figures in reported.items()
            if key.client_account == account
        },
        [share for share in shares if share.key.client_account == account],
    )


def list_shares(
    incarnation: str, window: str, counted: UsageByKey
) -> list[Share]:
    """Convert a daemon's figures into its shares of a report."""
    return [
        Share(incarnation, window, key, counted[key]) for key in sorted(counted)
    ]


def sum_shares(shares: list[Share]) -> UsageByKey:
    """Sum the shares of all daemons."""
    total: UsageByKey = {}
    for share in shares:
        total = add_entries(total, {share.key: share.figures})
    return total


async def _explain(options: argparse.Namespace) -> int:
    async with open_platform(options.platform) as platform:
        reported, shares = await explain_report(
            platform, options.window, options.account
        )
    agrees = sum_shares(shares) == reported
    if options.json:
        write_json(
            {
                'agrees': agrees,
                'shares': [asdict(share) for share in shares],
            }
        )
        return 0 if agrees else 1
    rows = [format_share(share) for share in shares]
    rows.extend(
        format_share(Share('reported', options.window, key, reported[key]))
        for key in sorted(reported)
    )
    write_table(HEADER, rows)
    if not agrees:
        write_line('The rows do not add up to the report.')
    return 0 if agrees else 1


def format_share(share: Share) -> tuple[str, ...]:
    """Format a share as a table row."""
    figures = share.figures
    cells = [
        share.incarnation,
        share.window,
        share.key.traffic_class,
        share.key.upstream_kind,
        str(figures.requests),
        str(figures.prompt_tokens),
        str(figures.generated_tokens),
        f'{figures.milliseconds / MILLISECONDS:.3f}',
    ]
    return tuple(cells)
