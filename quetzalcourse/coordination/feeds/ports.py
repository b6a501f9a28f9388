"""Interfaces to the platform's store beyond its table."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import timedelta

    from result import Result

    from quetzalcourse.state.rows import RowChanges, StoreFault


class ChangeFeed(Protocol):
    """Changes of tables, in their order.

    A row's key is ``TABLE/PART/NAME``; the rows that one transaction writes
    share their part.
    """

    async def read_part(
        self,
        table: str,
        part: str,
    ) -> Result[RowChanges, StoreFault]:
        """Read all rows of a part.

        :returns: the rows, with a version behind which to follow.
        """

    async def list_parts(self, table: str) -> Result[list[str], StoreFault]:
        """List the parts of a table."""

    async def follow(
        self,
        table: str,
        version: int,
        wait: timedelta,
    ) -> Result[RowChanges, StoreFault]:
        """Wait for the changes behind a version.

        :returns: the changes, none if there were none in time.
        """


class StoreClock(Protocol):
    """The store's own clock, which all daemons read alike."""

    def estimate(self) -> timedelta | None:
        """Estimate the store's time, ``None`` before its first answer."""
