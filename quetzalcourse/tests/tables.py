"""In-memory table and object store of the platform, with faults, for tests."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from quetzalcourse.protocol.platform import (
    ConditionMessage,
    TransactionMessage,
    WriteMessage,
    unpack_row,
)
from quetzalcourse.standins.platform import TableStandin
from quetzalcourse.state.rows import TransactionResult, FaultKind, StoreFault

if TYPE_CHECKING:
    from quetzalcourse.state.rows import Row, Transaction


class FakeStore:
    """Table and object store with fault injection.

    Each entry of ``write_faults`` decides one of the next writes:
    ``not_applied``, ``lost_before`` (not applied, no answer), ``lost_after``
    (applied, but no answer), or ``''`` for no fault.
    """

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.down = False
        self.write_faults: deque[str] = deque()
        self.reads = 0
        self.writes = 0
        self.table = TableStandin()
        self.objects: dict[str, bytes] = {}

    async def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Read one row."""
        self.reads += 1
        if self.down:
            return Err(make_fault(FaultKind.not_applied))
        row = self.table.read(key)
        return Ok(unpack_row(row) if row else None)

    async def scan(
        self,
        prefix: str,
        after: str = '',
        limit: int = 1000,
    ) -> Result[list[Row], StoreFault]:
        """Read rows in key order."""
        self.reads += 1
        if self.down:
            return Err(make_fault(FaultKind.not_applied))
        rows = self.table.scan(prefix, after, limit)
        return Ok([unpack_row(row) for row in rows])

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[TransactionResult, StoreFault]:
        """Write rows atomically, with the next fault if there is one."""
        self.writes += 1
        fault = self.write_faults.popleft() if self.write_faults else ''
        if self.down or fault == 'not_applied':
            return Err(make_fault(FaultKind.not_applied))
        if fault == 'lost_before':
            return Err(make_fault(FaultKind.unanswered))
        message = TransactionMessage(
            [
                ConditionMessage(condition.key, condition.version)
                for condition in transaction.conditions
            ],
            [
                WriteMessage(write.key, write.content)
                for write in transaction.writes
            ],
        )
        commit = self.table.transact(message)
        if fault == 'lost_after':
            return Err(make_fault(FaultKind.unanswered))
        conflicts = tuple(unpack_row(row) for row in commit.conflicts)
        return Ok(TransactionResult(commit.applied, conflicts))

    async def get(self, name: str) -> Result[bytes | None, StoreFault]:
        """Read an object."""
        self.reads += 1
        if self.down:
            return Err(make_fault(FaultKind.not_applied))
        return Ok(self.objects.get(name))

    async def put(self, name: str, content: bytes) -> Result[None, StoreFault]:
        """Write an object."""
        self.writes += 1
        if self.down:
            return Err(make_fault(FaultKind.not_applied))
        self.objects[name] = content
        return Ok(None)


def make_fault(kind: FaultKind) -> StoreFault:
    """Build a fault of the fake store."""
    return StoreFault(kind, 'test', 'fake store')
