"""``quetzalctl trace``: the story of one request, from daemons' logs."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from quetzalcourse.commands.output import write_line

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Fields that name what a line is about.
ID_FIELDS = ('request_id', 'batch', 'item', 'call', 'fingerprint')
# Fields that every line has, or that the story shows elsewhere.
COMMON_FIELDS = frozenset(('event', 'level', 'timestamp', 'part', 'vm'))
EXIT_NOT_FOUND = 1


@dataclass(frozen=True, slots=True)
class TraceLine:
    """A log line that could be read.

    :param source: daemon that wrote it, or the file if it doesn't say.
    """

    timestamp: str
    source: str
    part: str
    event: str
    details: dict[str, Any]


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        'trace', help="tell a request's story from logs"
    )
    parser.add_argument(
        'id',
        help='id of a request, a batch, an item or its scoring call, or the '
        'fingerprint of a request',
    )
    parser.add_argument('files', nargs='+', type=Path, metavar='FILE')
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the lines about an id in the order of their times.

    :returns: 0 if there were any.
    """
    unreadable = 0
    found: list[TraceLine] = []
    for path in options.files:
        with path.open(errors='replace') as lines:
            for line in read_lines(lines, path.stem):
                if line is None:
                    unreadable += 1
                elif matches_id(line, options.id):
                    found.append(line)
    for line in add_batch_lines(found, options):
        write_line(format_line(line))
    if unreadable:
        sys.stderr.write(
            f'{unreadable} lines could not be read; the story may have gaps\n'
        )
    return 0 if found else EXIT_NOT_FOUND


def add_batch_lines(
    found: list[TraceLine],
    options: argparse.Namespace,
) -> list[TraceLine]:
    """Add what happened to the batches of the items that were found.

    An item's own lines don't say why it waited: its batch may have had no
    owner meanwhile.
    """
    batches = {
        str(line.details['batch']) for line in found if 'batch' in line.details
    }
    lines = list(found)
    for path in options.files:
        with path.open(errors='replace') as source:
            for line in read_lines(source, path.stem):
                if line is None or 'item' in line.details:
                    continue
                batch = str(line.details.get('batch', ''))
                if batch in batches and batch != options.id:
                    lines.append(line)
    return sorted(lines, key=lambda line: (line.timestamp, line.source))


def read_lines(
    lines: Iterable[str],
    source: str,
) -> Iterator[TraceLine | None]:
    """Read log lines.

    Lines of several daemons may stand in one file, each behind a prefix of
    whoever collected them, and some may be cut.

    :returns: the lines, ``None`` for one that can't be read.
    """
    for text in lines:
        if not text.strip():
            continue
        prefix, brace, _ = text.partition('{')
        if not brace:
            continue
        try:
            fields = json.loads(text[len(prefix) :])
        except json.JSONDecodeError:
            yield None
            continue
        collector = prefix.split() or [source]
        yield TraceLine(
            str(fields.get('timestamp', '')),
            str(fields.get('vm', collector[-1])),
            str(fields.get('part', '')),
            str(fields.get('event', '')),
            {key: fields[key] for key in fields if key not in COMMON_FIELDS},
        )


def matches_id(line: TraceLine, wanted: str) -> bool:
    """Tell whether a line is about a request, a batch, an item or its score."""
    return any(line.details.get(name) == wanted for name in ID_FIELDS)


def format_line(line: TraceLine) -> str:
    """Write a line for a person."""
    details = ' '.join(f'{name}={text}' for name, text in line.details.items())
    clock = line.timestamp.partition('T')[2].rstrip('Z') or '-'
    return f'{clock} {line.source} {line.part}: {line.event} {details}'
