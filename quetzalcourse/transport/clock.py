"""Clock of the operating system."""

from __future__ import annotations

import asyncio
import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """Clock that includes the time during which the machine was suspended.

    A process that was paused, or whose VM was suspended, must detect before
    its next write that its leases have expired. A clock that stops during a
    suspension would hide the expiry.
    """

    def elapsed(self) -> timedelta:
        """Return the time since boot."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    async def sleep(self, duration: timedelta) -> None:
        """Suspend the calling task for a duration."""
        await asyncio.sleep(max(duration.total_seconds(), 0))
