"""Clock interface, which lets tests replace the system clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import datetime, timedelta


class Clock(Protocol):
    """Source of time for all decisions."""

    def elapsed(self) -> timedelta:
        """Return the time since boot, including suspended time."""

    def now(self) -> datetime:
        """Return the calendar time in UTC, for people and reports only."""

    async def sleep(self, duration: timedelta) -> None:
        """Suspend the calling task.

        :param duration: zero or less yields to the event loop once.
        """
