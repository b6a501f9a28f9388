"""In-memory table of the platform's store with its feed, for tests."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from quetzalcourse.state.rows import (
    ABSENT,
    RowChanges,
    TransactionResult,
    FaultKind,
    Row,
    StoreFault,
    Transaction,
)

if TYPE_CHECKING:
    from datetime import timedelta

    from quetzalcourse.state.clock import Clock


class FakeFeed:
    """Rows of one table, with versions from a single counter.

    ``reads`` counts read calls, ``writes`` counts transactions, and ``down``
    refuses every call.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self.rows: dict[str, Row] = {}
        self.reads = 0
        self.writes = 0
        self.down = False
        self._clock = clock
        self._version = 1
        self._changed = asyncio.Event()

    def put(self, key: str, content: bytes) -> int:
        """Write a row, as another daemon does."""
        self._version += 1
        self.rows[key] = Row(key, content, self._version)
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    def remove(self, key: str) -> int:
        """Remove a row, as an operator does."""
        self.put(key, b'')
        self.rows[key] = replace(self.rows[key], removed=True)
        return self._version

    async def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Read one row."""
        self.reads += 1
        if self.down:
            return Err(StoreFault(FaultKind.not_applied, 'read', ''))
        return Ok(self.rows.get(key))

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[TransactionResult, StoreFault]:
        """Write rows atomically if every condition holds."""
        self.writes += 1
        if self.down:
            return Err(StoreFault(FaultKind.not_applied, 'write', ''))
        for condition in transaction.conditions:
            known = self.rows.get(condition.key)
            exists = known is not None and not known.removed
            version = known.version if known and exists else ABSENT
            if version != condition.version:
                return Ok(TransactionResult(applied=False))
        version = ABSENT
        for write in transaction.writes:
            if write.content is None:
                version = self.remove(write.key)
            else:
                version = self.put(write.key, write.content)
        return Ok(TransactionResult(applied=True, version=version))

    async def list_parts(self, table: str) -> Result[list[str], StoreFault]:
        """List the parts of the table."""
        if self.down:
            return Err(StoreFault(FaultKind.not_applied, 'list', ''))
        return Ok(sorted({key.split('/')[1] for key in self.rows}))

    async def read_part(
        self,
        table: str,
        part: str,
    ) -> Result[RowChanges, StoreFault]:
        """Read the rows of a part."""
        self.reads += 1
        if self.down:
            return Err(StoreFault(FaultKind.not_applied, 'read', ''))
        rows = [
            row
            for key, row in self.rows.items()
            if key.split('/')[1] == part and not row.removed
        ]
        return Ok(RowChanges(tuple(rows), self._version))

    async def follow(
        self,
        table: str,
        version: int,
        wait: timedelta,
    ) -> Result[RowChanges, StoreFault]:
        """Wait for rows that are newer than a version."""
        self.reads += 1
        if self.down:
            return Err(StoreFault(FaultKind.not_applied, 'follow', ''))
        if self._version <= version:
            await self._wait(wait)
        newer = sorted(
            (row for row in self.rows.values() if row.version > version),
            key=lambda row: row.version,
        )
        return Ok(RowChanges(tuple(newer), self._version))

    async def _wait(self, wait: timedelta) -> None:
        changed = asyncio.ensure_future(self._changed.wait())
        sleeping = asyncio.ensure_future(self._clock.sleep(wait))
        await asyncio.wait(
            (changed, sleeping), return_when=asyncio.FIRST_COMPLETED
        )
        changed.cancel()
        sleeping.cancel()


class NoStoreClock:
    """Store clock that has not been read yet."""

    def estimate(self) -> timedelta | None:
        """Return no estimate."""
        return None
