"""Usage rows of the daemons in the platform's table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from quetzalcourse.state.decoding import decode_json
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
    """Build the key of usage that a daemon stored in time."""
    return f'usage/{window}/{incarnation}'


def build_late_key(window: str, incarnation: str) -> str:
    """Build the key of usage stored after its window was closed."""
    return f'{LATE_PREFIX}{window}/{incarnation}'


def build_included_key(window: str, incarnation: str) -> str:
    """Build the key of late usage that reports include already."""
    return f'usage-included/{window}/{incarnation}'


def build_closed_key(window: str) -> str:
    """Build the key of the row whose presence closes a window."""
    return f'usage-closed/{window}'


def encode_row(row: UsageRow) -> bytes:
    """Encode the content of a usage row."""
    return msgspec.json.encode(row)


def decode_entries(row: Row | None) -> UsageByKey:
    """Decode the figures of a row, empty if it is absent."""
    if row is None:
        return {}
    found = decode_json(row.content, UsageRow)
    return index_entries(found.entries)


def require_unchanged(key: str, row: Row | None) -> Condition:
    """Return the condition that a row is unchanged since it was read."""
    return Condition(key, row.version if row else ABSENT)


class UsageRowStore:
    """Stores usage rows such that the largest figures win, whoever writes them.

    The rows of a closed window never change. Late usage goes to a separate
    row, for the report of a later window.
    """

    def __init__(self, table: Table) -> None:
        self._table = table

    async def store(self, row: UsageRow) -> bool:
        """Store figures, in time or as late usage.

        :returns: whether the table holds them now; otherwise retry.
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
        existing = decode_entries(answer.ok_value)
        merged = merge_entries(existing, index_entries(row.entries))
        if merged == existing:
            return Ok(True)
        merged_row = UsageRow(row.window, row.incarnation, list_entries(merged))
        # The report is summed up after the window is closed. Without this
        # condition a row could change after the sum, and the difference
        # would be in no report.
        return await self._transact(
            Transaction(
                (
                    require_unchanged(key, answer.ok_value),
                    Condition(build_closed_key(row.window), ABSENT),
                ),
                (Write(key, encode_row(merged_row)),),
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
        existing = merge_entries(
            decode_entries(late.ok_value), decode_entries(included.ok_value)
        )
        merged = merge_entries(existing, index_entries(row.entries))
        if merged == existing:
            return Ok(True)
        merged_row = UsageRow(row.window, row.incarnation, list_entries(merged))
        return await self._transact(
            Transaction(
                (
                    require_unchanged(late_key, late.ok_value),
                    require_unchanged(included_key, included.ok_value),
                ),
                (Write(late_key, encode_row(merged_row)),),
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
