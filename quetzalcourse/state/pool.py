"""Registrations and load reports of upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class PoolMember:
    """Registration of one run of an upstream.

    :param name: id that it checks before it runs a request.
    :param address: IP address and port.
    :param slots: maximum of concurrent requests.
    :param leaving: whether it is draining and takes no new work.
    :param versions: weight version of each model that it holds.
    :param started: start of this run, 0 if not given; the next run may have
        the same name but shares no state with this one.
    :param spot: whether it is a spot instance.
    :param leaves_in: time until it stops, if it is known.
    :param cold_for: remaining time of its cold start.
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
    """Load that an upstream reports with a response.

    :param slowdown: how long work takes there now, relative to usual (1.0);
        ``None`` if it does not tell.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None

    @property
    def total(self) -> int:
        """Number of running and waiting requests."""
        return self.running + self.waiting
