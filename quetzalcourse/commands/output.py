"""Output of commands as lines, tables and JSON."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence

COLUMN_GAP = '  '


def write_line(text: str) -> None:
    """Print one line to standard output."""
    sys.stdout.write(f'{text}\n')


def write_json(document: Any) -> None:
    """Print a document as JSON."""
    write_line(json.dumps(document, indent=2, sort_keys=True))


def write_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print rows in aligned columns.

    :param header: column titles.
    """
    lines = [header, *rows]
    widths = [max(len(cell) for cell in column) for column in zip(*lines)]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        write_line(COLUMN_GAP.join(cells).rstrip())
