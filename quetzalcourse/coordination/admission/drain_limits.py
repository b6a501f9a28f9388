"""Admission of requests to a daemon that is stopping."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.refusal import Refusal, RefusalCode

if TYPE_CHECKING:
    from quetzalcourse.state.clock import Clock

# Another daemon can serve the request at once.
RETRY_AFTER = timedelta(0)


class DrainLimits:
    """Rejects requests that may outlast the drain of the daemon.

    A request that is still running when the process exits is cut off. Callers
    still reach a daemon for some time after its drain began, so early requests
    are accepted: few of them take as long as they may.
    """

    def __init__(self, clock: Clock) -> None:
        """Accept every request."""
        self._clock = clock
        self._late_from: timedelta | None = None
        self._ends_at: timedelta | None = None

    def on_drain(self, late_from: timedelta, ends_at: timedelta) -> None:
        """Record that the drain began.

        :param late_from: time since boot from which on only requests are
            accepted that end before the drain does.
        :param ends_at: time since boot at which the drain ends at the latest.
        """
        self._late_from = late_from
        self._ends_at = ends_at

    def on_drain_end(self) -> None:
        """Reject all further requests."""
        self.on_drain(self._clock.elapsed(), self._clock.elapsed())

    def check(self, deadline: timedelta) -> None:
        """Check that a request can be accepted.

        :param deadline: time since boot at which it has its answer.
        :raises RefusedError: if the process may exit before.
        """
        if self._late_from is None or self._ends_at is None:
            return
        late = self._clock.elapsed() >= self._late_from
        if late and deadline > self._ends_at:
            raise RefusedError(
                Refusal(
                    RefusalCode.not_ready,
                    'This daemon is stopping.',
                    not_run=True,
                    retry_after=RETRY_AFTER,
                    step='drain',
                )
            )
