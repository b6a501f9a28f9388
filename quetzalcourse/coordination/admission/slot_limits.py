"""Interface between the queue of waiting requests and the slots they use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from quetzalcourse.coordination.forwarding.upstream import Upstream


class SlotLimits(Protocol):
    """Limits how many requests this daemon may run at an upstream."""

    def has_free_slot(self, upstream: Upstream) -> bool:
        """Tell whether another request may be sent to an upstream now."""

    def on_waiting(self, service: str, waiting: Mapping[str, int]) -> None:
        """Record how many requests wait for a service.

        :param waiting: number by client account, empty once none waits.
        """

    def on_sent(self, upstream: Upstream, client_account: str) -> None:
        """Record that a request is sent to an upstream."""

    def on_ended(self, upstream: Upstream, client_account: str) -> None:
        """Record that a request at an upstream ended."""

    def on_full(self, upstream: Upstream) -> None:
        """Record that an upstream refused a request since it was full."""

    def on_free(self, listener: Callable[[str], None]) -> None:
        """Call a listener with a service whose slots may have become free."""
