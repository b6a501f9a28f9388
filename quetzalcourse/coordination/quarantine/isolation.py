"""Isolation of suspect requests, so that a crash identifies its cause.

When many upstreams crash in a short time, dozens of innocent requests become
suspect together with the one that crashes them. Run concurrently they would be
blamed for each other's crashes; run one at a time per upstream they are not.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection


class Isolation:
    """Running suspect requests and the upstreams that run them."""

    def __init__(self) -> None:
        self._running: Counter[str] = Counter()
        self._occupied: Counter[str] = Counter()

    def is_running(self, fingerprint: str) -> bool:
        """Return whether a suspect request already runs from this daemon."""
        return fingerprint in self._running

    def list_occupied(self) -> Collection[str]:
        """List the upstreams that run a suspect request."""
        return frozenset(self._occupied)

    def on_start(self, fingerprint: str, upstream: str) -> None:
        """Record that an upstream starts to run a suspect request."""
        self._running[fingerprint] += 1
        self._occupied[upstream] += 1

    def on_finish(self, fingerprint: str, upstream: str) -> None:
        """Record that an upstream no longer runs a suspect request."""
        _decrease(self._running, fingerprint)
        _decrease(self._occupied, upstream)


def _decrease(counts: Counter[str], name: str) -> None:
    counts[name] -= 1
    if counts[name] <= 0:
        counts.pop(name)
