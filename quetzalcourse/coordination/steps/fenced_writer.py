"""Fenced writer: only the lease holder inserts rows, each row once."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err, Ok

from quetzalcourse.coordination.steps.step_rows import StepLeaseLostError
from quetzalcourse.state.rows import ABSENT, Condition, Transaction, Write

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.coordination.steps.step_lease import StepLease
    from quetzalcourse.state.clock import Clock

RETRY_INTERVAL = timedelta(seconds=1)


class FencedWriter:
    """Inserts rows under a lease, even if answers of the store are lost.

    :param lease: lease that every write requires.
    """

    def __init__(self, table: Table, lease: StepLease, clock: Clock) -> None:
        self._table = table
        self._lease = lease
        self._clock = clock

    async def insert(
        self,
        key: str,
        content: bytes,
        *extra_writes: Write,
    ) -> None:
        """Insert a row, retrying until the store confirms it.

        :param extra_writes: further writes of the same transaction.
        :raises StepLeaseLostError: if another daemon took over the lease.
        """
        while not await self.try_insert(key, content, *extra_writes):
            if await self._confirm_insert(key, content):
                return
            await self._clock.sleep(RETRY_INTERVAL)

    async def try_insert(
        self,
        key: str,
        content: bytes,
        *extra_writes: Write,
    ) -> bool:
        """Try once to insert a row.

        :returns: whether the store confirmed the insert.
        """
        answer = await self._table.transact(
            Transaction(
                (self._lease.require(), Condition(key, ABSENT)),
                (Write(key, content), *extra_writes),
            )
        )
        return isinstance(answer, Ok) and answer.ok_value.applied

    async def _confirm_insert(self, key: str, content: bytes) -> bool:
        # The answer may have been lost after the write took effect. Without
        # reading back, the samples would be written again at the next
        # position and the trainer would receive them twice.
        answer = await self._table.read(key)
        if isinstance(answer, Err):
            return False
        row = answer.ok_value
        if row is not None and row.content == content:
            return True
        if row is not None:
            raise StepLeaseLostError('Another daemon wrote this position.')
        await self._lease.renew()
        return False
