"""Load of an upstream that its owner did not grant.

During a network partition, two daemons may own the same upstream. Each then
sees in the upstream's load what the other granted, and reduces its own slots
accordingly. Correcting half of the difference at a time lets both converge,
where a full correction would make them oscillate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

SMOOTHING = 0.5
MAX_RECENT_COMMITMENTS = 1000


class ForeignLoad:
    """Compares load reports with the slots that an owner committed.

    A load report lags, so it is compared with the largest recent commitment.

    :param lag: largest age of a load report when it arrives.
    """

    def __init__(self, lag: timedelta) -> None:
        """Create without reports."""
        self.slots = 0.0
        self._lag = lag
        self._commitments: list[tuple[timedelta, int]] = []

    def on_commitment(self, committed: int, now: timedelta) -> None:
        """Record the slots that daemons may be using."""
        self._commitments.append((now, committed))
        del self._commitments[:-MAX_RECENT_COMMITMENTS]

    def on_load(self, busy: int, committed: int, now: timedelta) -> None:
        """Apply a load report.

        :param busy: number of requests that run or wait at the upstream.
        :param committed: slots that daemons may be using now.
        """
        self._commitments = [
            (at, earlier)
            for at, earlier in self._commitments
            if now - at <= self._lag
        ]
        self._commitments.append((now, committed))
        known = max(earlier for _, earlier in self._commitments)
        unknown = max(busy - known, 0)
        self.slots += SMOOTHING * (unknown - self.slots)
        if self.slots < SMOOTHING:
            self.slots = 0.0
