"""Rows that only the holder of a lease writes, each of them once."""

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
    """Writes rows under a lease, whatever becomes of the answers.

    :param lease: the lease that every write requires.
    """

    def __init__(self, table: Table, lease: StepLease, clock: Clock) -> None:
        """Keep the parts that a write needs."""
        self._table = table
        self._lease = lease
        self._clock = clock

    async def insert(
        self,
        key: str,
        content: bytes,
        *extra_writes: Write,
    ) -> None:
        """Write a row that is absent, however long the store takes.

        :param extra_writes: writes of the same transaction.
        :raises StepLostError: if another holder took over.
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
        """Write a row that is absent, once.

        :returns: whether it is known to be written.
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
        # reading back, the samples would be written once more at the next
        # position, and the trainer would get them twice.
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
