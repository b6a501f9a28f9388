"""``quetzalctl trace``: the log lines of one request, from all daemons."""

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

# Fields whose values are ids that can be traced.
ID_FIELDS = ('request_id', 'batch', 'item', 'call', 'fingerprint')
# Fields that every line has, or that the output shows elsewhere.
COMMON_FIELDS = frozenset(('event', 'level', 'timestamp', 'part', 'vm'))
EXIT_NOT_FOUND = 1


@dataclass(frozen=True, slots=True)
class TraceLine:
    """A parsed log line.

    :param source: VM of the daemon, or the prefix or file name of the line.
    """

    timestamp: str
    source: str
    part: str
    event: str
    details: dict[str, Any]


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        'trace', help='show the log lines of a request'
    )
    parser.add_argument(
        'id',
        help='id of a request, a batch, an item or its scoring call, or the '
        'fingerprint of a request',
    )
    parser.add_argument('files', nargs='+', type=Path, metavar='FILE')
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the lines with an id in order of time.

    :returns: exit code, 0 if there were any.
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
            f'{unreadable} lines could not be read; the trace may have gaps\n'
        )
    return 0 if found else EXIT_NOT_FOUND


def add_batch_lines(
    found: list[TraceLine],
    options: argparse.Namespace,
) -> list[TraceLine]:
    """Add the lines of the batches whose items were found.

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
    """Parse log lines.

    A file may have lines of several daemons, each with a prefix of the log
    collector, and some may be truncated.

    :returns: the lines, ``None`` for one that cannot be parsed.
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
    """Check whether a line has an id of a request, batch, item or scoring."""
    return any(line.details.get(name) == wanted for name in ID_FIELDS)


def format_line(line: TraceLine) -> str:
    """Format a line as text."""
    details = ' '.join(f'{name}={text}' for name, text in line.details.items())
    clock = line.timestamp.partition('T')[2].rstrip('Z') or '-'
    return f'{clock} {line.source} {line.part}: {line.event} {details}'
