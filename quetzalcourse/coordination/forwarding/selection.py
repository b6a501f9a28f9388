"""Selection of the upstream of each attempt of a forwarded request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.forwarding import (
        ForwardedRequest,
        Forwarder,
    )
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.state.refusal import Refusal


class UpstreamSelection(Protocol):
    """Selects an upstream for each attempt and counts the attempt there."""

    async def acquire(self, request: ForwardedRequest) -> Upstream:
        """Select the upstream of the next attempt.

        The request holds a slot there until :meth:`release`.

        :raises RefusedError: if there is none.
        """

    def release(self, request: ForwardedRequest) -> None:
        """Release the slot of an attempt that ended, if it is still held."""

    def on_full(self, request: ForwardedRequest, upstream: Upstream) -> None:
        """Record that an upstream did not run a request since it was full."""

    def on_served(self, request: ForwardedRequest) -> None:
        """Record that the current attempt delivered the whole response."""

    def build_refusal(self, request: ForwardedRequest) -> Refusal:
        """Build the refusal of a request that is not tried again."""


class DirectSelection:
    """Selects the least loaded upstream at once, even a full one."""

    def __init__(self, forwarder: Forwarder, pool: Pool) -> None:
        """Store the collaborators."""
        self._forwarder = forwarder
        self._pool = pool

    async def acquire(self, request: ForwardedRequest) -> Upstream:
        """Select an upstream without waiting.

        :raises RefusedError: if there is none.
        """
        upstream = self._forwarder.choose(request)
        request.slot = self._pool.take_slot(upstream)
        return upstream

    def release(self, request: ForwardedRequest) -> None:
        """Release the slot of an attempt that ended, if it is still held."""
        if request.slot is not None:
            request.slot.release()

    def on_full(self, request: ForwardedRequest, upstream: Upstream) -> None:
        """Ignore a full upstream: its refusal counts as an attempt."""

    def on_served(self, request: ForwardedRequest) -> None:
        """Ignore the time that the request took."""

    def build_refusal(self, request: ForwardedRequest) -> Refusal:
        """Build the refusal of a request that is not tried again."""
        return self._forwarder.build_refusal(request)
