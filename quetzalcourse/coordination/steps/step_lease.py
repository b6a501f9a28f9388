"""Lease on a step, distinguished from later ones by its token."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from quetzalcourse.coordination.leases.lease import Lease, decode_record
from quetzalcourse.coordination.steps.step_rows import StepLeaseLostError

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.state.rows import Condition


class StepLease:
    """A held lease on a step, bound to the token of its acquisition.

    :param lease: the held lease.
    """

    def __init__(self, table: Table, lease: Lease) -> None:
        self.token = lease.token
        self._table = table
        self._lease = lease

    @property
    def key(self) -> str:
        """Key of the row of the lease."""
        return self._lease.key

    @property
    def keys(self) -> tuple[str, str]:
        """Keys of all rows of the lease."""
        return (self._lease.key, self._lease.fence_key)

    def require(self) -> Condition:
        """Return the condition that fails once another holder took over."""
        return self._lease.fence_condition()

    async def renew(self) -> None:
        """Renew the lease.

        While the store is down the term expires, but no other daemon can
        acquire the lease either. The run therefore continues until a later
        holder is seen.

        :raises StepLeaseLostError: if another daemon took over the lease.
        """
        await self._lease.acquire_or_renew()
        if not self._lease.held or self._lease.token != self.token:
            await self.check()

    async def check(self) -> None:
        """Check that the row still carries the token.

        :raises StepLeaseLostError: if another daemon took over the lease.
        """
        answer = await self._table.read(self.key)
        if isinstance(answer, Err):
            return
        row = answer.ok_value
        if row is None or decode_record(row).token != self.token:
            raise StepLeaseLostError('Another daemon runs the step.')

    async def release(self) -> None:
        """Release the lease, unless another daemon holds it by now."""
        if self._lease.token == self.token:
            await self._lease.release()
