"""Keeps suspect requests apart, so that an end shows which one caused it.

When many upstreams end in a short time, dozens of innocent requests are held
suspect together with the one that ends them. Run side by side they would be
blamed for each other's ends; one at a time at each upstream they are not.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection


class Isolation:
    """Suspect requests that run, and the upstreams that run them."""

    def __init__(self) -> None:
        """Begin without a suspect."""
        self._running: Counter[str] = Counter()
        self._occupied: Counter[str] = Counter()

    def is_running(self, fingerprint: str) -> bool:
        """Tell whether this daemon runs a suspect request already."""
        return fingerprint in self._running

    def list_occupied(self) -> Collection[str]:
        """List the upstreams that run a suspect request."""
        return frozenset(self._occupied)

    def on_start(self, fingerprint: str, upstream: str) -> None:
        """Learn that an upstream begins to run a suspect request."""
        self._running[fingerprint] += 1
        self._occupied[upstream] += 1

    def on_finish(self, fingerprint: str, upstream: str) -> None:
        """Learn that an upstream runs a suspect request no more."""
        _decrease(self._running, fingerprint)
        _decrease(self._occupied, upstream)


def _decrease(counts: Counter[str], name: str) -> None:
    counts[name] -= 1
    if counts[name] <= 0:
        counts.pop(name)
