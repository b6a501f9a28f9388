"""Reads of all rows with a prefix, however many there are."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.state.rows import Row, StoreFault

# Another daemon may read a page for this one and send it in one message.
PAGE_ROWS = 100


async def scan_all(
    table: Table, prefix: str, after: str = ''
) -> Result[list[Row], StoreFault]:
    """Read all rows with a prefix in key order, page by page.

    Rows that are written meanwhile are included if their keys follow those
    that were read.

    :param after: key after which to start.
    """
    rows: list[Row] = []
    while True:
        page = await table.scan(prefix, after, PAGE_ROWS)
        if isinstance(page, Err):
            return page
        rows += page.ok_value
        if len(page.ok_value) < PAGE_ROWS:
            return Ok(rows)
        after = rows[-1].key
