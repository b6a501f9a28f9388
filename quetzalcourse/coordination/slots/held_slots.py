"""Slots that requests of this daemon hold."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from quetzalcourse.state.generation import TrafficClass

if TYPE_CHECKING:
    from quetzalcourse.state.slots import Grant


class HeldSlots:
    """Grants that were handed out and not yet given back.

    Two grants of the same account are equal, so they are told apart by
    identity; a grant is kept here as long as its identity is in use.
    """

    def __init__(self) -> None:
        """Begin with none held."""
        self._charged: dict[int, float] = {}
        self._running: Counter[str] = Counter()
        self._training: dict[str, dict[int, Grant]] = defaultdict(dict)

    def running(self, upstream: str) -> int:
        """Count the slots of an upstream that are held."""
        return self._running[upstream]

    def add(self, grant: Grant, charged: float) -> None:
        """Keep a grant.

        :param charged: tokens that its account was charged in advance.
        """
        upstream = grant.upstream.name
        self._charged[id(grant)] = charged
        self._running[upstream] += 1
        if grant.traffic_class is TrafficClass.training:
            self._training[upstream][id(grant)] = grant

    def remove(self, grant: Grant) -> float | None:
        """Forget a grant.

        :returns: what was charged, ``None`` if it was not held.
        """
        charged = self._charged.pop(id(grant), None)
        if charged is None:
            return None
        upstream = grant.upstream.name
        self._running[upstream] -= 1
        self._training[upstream].pop(id(grant), None)
        return charged

    def revoke_training(self, upstream: str, count: int) -> int:
        """Revoke training's youngest grants, which lose the least.

        :param count: how many must be revoked, those before included.
        :returns: how many were revoked now.
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
