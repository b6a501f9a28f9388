"""Slot of an upstream that is in use or reserved."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.coordination.permit import Permit

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.upstream import Upstream


class UpstreamSlot(Permit):
    """Counts one request at an upstream until it is released.

    :param upstream: upstream at which the request runs or will run.
    """

    def __init__(self, upstream: Upstream) -> None:
        """Count the request."""
        super().__init__(self._uncount)
        self.upstream = upstream
        upstream.running += 1

    def _uncount(self) -> None:
        self.upstream.running -= 1
