"""The lease on a step, told apart from the lease of its next holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from quetzalcourse.coordination.leases.lease import Lease, decode_record
from quetzalcourse.coordination.steps.step_rows import StepLeaseLostError

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.state.rows import Condition


class StepLease:
    """A lease that was taken, under the token that it was taken with.

    :param lease: the lease, held.
    """

    def __init__(self, table: Table, lease: Lease) -> None:
        """Keep the token."""
        self.token = lease.token
        self._table = table
        self._lease = lease

    @property
    def key(self) -> str:
        """Name of the lease's row."""
        return self._lease.key

    @property
    def keys(self) -> tuple[str, str]:
        """Names of all rows of the lease."""
        return (self._lease.key, self._lease.fence_key)

    def require(self) -> Condition:
        """Give the condition that fails once another holder took over."""
        return self._lease.fence_condition()

    async def renew(self) -> None:
        """Renew the lease.

        While the store is down the term runs out, but nobody else can take
        the lease either; the run goes on until a later holder is seen.

        :raises StepLostError: if another holder took over.
        """
        await self._lease.acquire_or_renew()
        if not self._lease.held or self._lease.token != self.token:
            await self.check()

    async def check(self) -> None:
        """Look whether the row still carries the token.

        :raises StepLostError: if another holder took over.
        """
        answer = await self._table.read(self.key)
        if isinstance(answer, Err):
            return
        row = answer.ok_value
        if row is None or decode_record(row).token != self.token:
            raise StepLeaseLostError('Another daemon runs the step.')

    async def release(self) -> None:
        """Give the lease up, unless it is another holder's by now."""
        if self._lease.token == self.token:
            await self._lease.release()
