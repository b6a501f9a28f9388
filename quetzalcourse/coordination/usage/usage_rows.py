"""Daemons' usage rows in the platform's table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from quetzalcourse.state.rows import (
    ABSENT,
    Condition,
    Row,
    StoreFault,
    Transaction,
    Write,
)
from quetzalcourse.state.usage import (
    UsageByKey,
    UsageRow,
    index_entries,
    merge_entries,
    list_entries,
)

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import Table

LATE_PREFIX = 'usage-late/'


def build_row_key(window: str, incarnation: str) -> str:
    """Name the row of what a daemon counted in time."""
    return f'usage/{window}/{incarnation}'


def build_late_key(window: str, incarnation: str) -> str:
    """Name the row of what came after its window was closed."""
    return f'{LATE_PREFIX}{window}/{incarnation}'


def build_included_key(window: str, incarnation: str) -> str:
    """Name the row of late figures that later reports hold already."""
    return f'usage-included/{window}/{incarnation}'


def build_closed_key(window: str) -> str:
    """Name the row whose presence closes a window."""
    return f'usage-closed/{window}'


def encode_row(row: UsageRow) -> bytes:
    """Write figures as the bytes of a row."""
    return msgspec.json.encode(row)


def decode_entries(row: Row | None) -> UsageByKey:
    """Read the figures of a row, none if it is absent."""
    if row is None:
        return {}
    found = msgspec.json.decode(row.content, type=UsageRow)
    return index_entries(found.entries)


def require_unchanged(key: str, row: Row | None) -> Condition:
    """Require that a row is still as it was read."""
    return Condition(key, row.version if row else ABSENT)


class UsageRowStore:
    """Writes rows so that the largest figures stay, whoever writes them.

    A closed window's rows never change again: what comes then goes to a row
    of its own, for the report of a later window.
    """

    def __init__(self, table: Table) -> None:
        """Keep the table."""
        self._table = table

    async def store(self, row: UsageRow) -> bool:
        """Make figures last, in time or late.

        :returns: whether the table holds them now; else try again.
        """
        stored = await self._store_in_time(row)
        if stored.is_ok() and not stored.unwrap():
            stored = await self._store_late(row)
        return stored.is_ok() and stored.unwrap()

    async def _store_in_time(self, row: UsageRow) -> Result[bool, StoreFault]:
        key = build_row_key(row.window, row.incarnation)
        answer = await self._table.read(key)
        if isinstance(answer, Err):
            return answer
        before = decode_entries(answer.ok_value)
        joined = merge_entries(before, index_entries(row.entries))
        if joined == before:
            return Ok(True)
        whole = UsageRow(row.window, row.incarnation, list_entries(joined))
        # The report is summed up after the window is closed. A row written
        # without this condition could change after the sum, and what it
        # gained would be in no report.
        return await self._transact(
            Transaction(
                (
                    require_unchanged(key, answer.ok_value),
                    Condition(build_closed_key(row.window), ABSENT),
                ),
                (Write(key, encode_row(whole)),),
            )
        )

    async def _store_late(self, row: UsageRow) -> Result[bool, StoreFault]:
        late_key = build_late_key(row.window, row.incarnation)
        included_key = build_included_key(row.window, row.incarnation)
        closed = await self._table.read(build_closed_key(row.window))
        late = await self._table.read(late_key)
        included = await self._table.read(included_key)
        if isinstance(closed, Err) or closed.ok_value is None:
            return Ok(False)
        if isinstance(late, Err):
            return late
        if isinstance(included, Err):
            return included
        before = merge_entries(
            decode_entries(late.ok_value), decode_entries(included.ok_value)
        )
        joined = merge_entries(before, index_entries(row.entries))
        if joined == before:
            return Ok(True)
        whole = UsageRow(row.window, row.incarnation, list_entries(joined))
        return await self._transact(
            Transaction(
                (
                    require_unchanged(late_key, late.ok_value),
                    require_unchanged(included_key, included.ok_value),
                ),
                (Write(late_key, encode_row(whole)),),
            )
        )

    async def _transact(
        self,
        transaction: Transaction,
    ) -> Result[bool, StoreFault]:
        answer = await self._table.transact(transaction)
        if isinstance(answer, Err):
            return answer
        return Ok(answer.ok_value.applied)
