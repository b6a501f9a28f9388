"""Slots held by the requests of this daemon."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from quetzalcourse.state.generation import TrafficClass

if TYPE_CHECKING:
    from quetzalcourse.state.slots import Grant


class HeldSlots:
    """Tracks grants that have not been released yet.

    Two grants of the same account compare equal, so they are distinguished by
    identity; each grant is kept here as long as its identity is in use.
    """

    def __init__(self) -> None:
        """Create without grants."""
        self._charged: dict[int, float] = {}
        self._running: Counter[str] = Counter()
        self._training: dict[str, dict[int, Grant]] = defaultdict(dict)

    def running(self, upstream: str) -> int:
        """Return the number of held slots of an upstream."""
        return self._running[upstream]

    def add(self, grant: Grant, charged: float) -> None:
        """Add a grant.

        :param charged: tokens charged to its account in advance.
        """
        upstream = grant.upstream.name
        self._charged[id(grant)] = charged
        self._running[upstream] += 1
        if grant.traffic_class is TrafficClass.training:
            self._training[upstream][id(grant)] = grant

    def remove(self, grant: Grant) -> float | None:
        """Remove a grant.

        :returns: the tokens charged in advance, ``None`` if it was not held.
        """
        charged = self._charged.pop(id(grant), None)
        if charged is None:
            return None
        upstream = grant.upstream.name
        self._running[upstream] -= 1
        self._training[upstream].pop(id(grant), None)
        return charged

    def revoke_training(self, upstream: str, count: int) -> int:
        """Revoke the most recent training grants, which lose the least work.

        :param count: number that must be revoked, including earlier ones.
        :returns: number of grants revoked by this call.
        """
        grants = self._training[upstream].values()
        missing = count - sum(grant.revoked.is_set() for grant in grants)
        revoked = 0
        for grant in reversed(grants):
            if revoked >= missing:
                break
            if not grant.revoked.is_set():
                grant.revoked.set()
                revoked += 1
        return revoked
