"""Upstreams as they register themselves."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class PoolMember:
    """One run of an upstream.

    :param name: id that it checks before it runs a request.
    :param address: IP number and port.
    :param slots: requests that it runs at once.
    :param leaving: whether it takes no new work.
    :param versions: weight version of each model that it holds.
    :param started: when this run of it began, 0 if it does not say; the
        next run may have the same name and knows nothing of this one.
    :param leaves_in: time until it is gone, if it was told.
    :param cold_for: time for which it still takes few requests.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    versions: dict[str, int] = field(default_factory=dict)
    started: int = 0
    spot: bool = False
    leaves_in: timedelta | None = None
    cold_for: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an upstream tells with an answer."""

    running: int
    waiting: int
    slots: int

    @property
    def total(self) -> int:
        """Requests that it has, running or not."""
        return self.running + self.waiting
