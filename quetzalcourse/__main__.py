"""Entry point of ``quetzalctl``."""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING

from quetzalcourse import __version__
from quetzalcourse.commands import (
    apply,
    check,
    demo,
    key,
    quarantine,
    report,
    status,
    trace,
    usage,
)
from quetzalcourse.exceptions import AbortError

if TYPE_CHECKING:
    from collections.abc import Sequence

COMMANDS = (
    check,
    apply,
    key,
    status,
    report,
    usage,
    trace,
    quarantine,
    demo,
)


def build_parser() -> argparse.ArgumentParser:
    """Build the parser, with a subcommand for each command module."""
    parser = argparse.ArgumentParser(
        prog='quetzalctl',
        description='Drive quetzalcourse through its manifest and keys.',
    )
    parser.add_argument('--version', action='version', version=__version__)
    subparsers = parser.add_subparsers(metavar='COMMAND', required=True)
    for command in COMMANDS:
        command.add_parser(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run ``quetzalctl``.

    :param arguments: command line; defaults to that of the process.
    :returns: exit code: 0 for success, 1 for failure, 2 for wrong usage.
    """
    options = build_parser().parse_args(arguments)
    try:
        return options.run(options)
    except AbortError as error:
        sys.stderr.write(f'quetzalctl: {error}\n')
        return error.exit_code


if __name__ == '__main__':
    raise SystemExit(main())
