"""``quetzalctl status``: show the status page of a daemon."""

from __future__ import annotations

import argparse
from typing import Any

import aiohttp

from quetzalcourse.commands.output import write_json, write_line
from quetzalcourse.exceptions import AbortError
from quetzalcourse.loop import run_loop
from quetzalcourse.transport.connections import open_session

TIMEOUT_SECONDS = 5.0


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser('status', help='show the status of a daemon')
    parser.add_argument('--daemon', required=True, metavar='IP:PORT')
    parser.add_argument('--json', action='store_true')
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the status of one daemon."""
    return run_loop(_show(options))


async def _show(options: argparse.Namespace) -> int:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    url = f'http://{options.daemon}/status'
    try:
        async with open_session(timeout=timeout) as session:
            async with session.get(url) as answer:
                document = await answer.json()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise AbortError(f'{options.daemon}: {error}') from error
    if options.json:
        write_json(document)
        return 0
    for name, text in document.items():
        write_line(f'{name}: {text}')
    return 0
