"""Leases as they stand in the platform's table."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Content of a lease's row.

    :param holder: contender that holds the lease; empty when released.
    :param token: fencing token; grows by one with every new holder.
    :param renewal: grows by one with every renewal.
    """

    holder: str
    token: int
    renewal: int


@dataclass(frozen=True, slots=True)
class FenceRecord:
    """Content of a lease's fence row, written with every new holder only."""

    token: int


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """Times that holder and contenders agree on.

    :param term: how long a confirmed renewal lasts.
    :param margin: extra time that a contender waits, for clocks that run at
        different rates.
    :param order_timeout: how long before its end a holder stops sending to
        receivers that ignore fencing tokens; contenders wait that much
        longer.
    """

    term: timedelta
    margin: timedelta
    order_timeout: timedelta = timedelta(0)

    @property
    def wait(self) -> timedelta:
        """How long a contender must have seen the row unchanged."""
        return self.term + self.margin + self.order_timeout


def compute_min_margin(term: timedelta, drift_bound: float) -> timedelta:
    """Work out the least margin for clocks that run at different rates.

    A fast contender waits ``term + margin`` in ``1 / (1 + drift_bound)`` of
    that time, while a slow holder keeps the lease for
    ``term / (1 - drift_bound)``.

    :param drift_bound: most that a clock's rate is off from true, as a share.
    """
    return term * (2 * drift_bound / (1 - drift_bound))


class LeaseState(enum.StrEnum):
    """Who holds a lease, as one daemon sees it."""

    held = 'held'
    other = 'other'
    nobody = 'nobody'


@dataclass(frozen=True, slots=True)
class LeaseStatus:
    """A lease as one daemon sees it.

    :param holder: contender named by the row when it was last read.
    :param silent_seconds: time since the table last answered about it.
    """

    lease: str
    state: LeaseState
    holder: str
    token: int
    silent_seconds: float
