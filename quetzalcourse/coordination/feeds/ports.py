"""Interfaces to the store's change feed and clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import timedelta

    from result import Result

    from quetzalcourse.state.rows import RowChanges, StoreFault


class ChangeFeed(Protocol):
    """Ordered changes of tables.

    A row's key is ``TABLE/PART/NAME``; all rows written by one transaction are
    in the same part.
    """

    async def read_part(
        self,
        table: str,
        part: str,
    ) -> Result[RowChanges, StoreFault]:
        """Read all rows of a part.

        :returns: the rows, with the version to follow from.
        """

    async def list_parts(self, table: str) -> Result[list[str], StoreFault]:
        """List the parts of a table."""

    async def follow(
        self,
        table: str,
        version: int,
        wait: timedelta,
    ) -> Result[RowChanges, StoreFault]:
        """Wait for changes after a version.

        :param wait: how long the store may hold the call.
        :returns: the changes, empty if there were none within the wait.
        """


class StoreClock(Protocol):
    """The store's clock, which is the same for all daemons."""

    def estimate(self) -> timedelta | None:
        """Estimate the store's time; ``None`` before its first answer."""
