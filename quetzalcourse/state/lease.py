"""Leases: rows in the platform's table, timings and status."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta

from quetzalcourse.state.decoding import Int64


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Content of a lease's row.

    :param holder: contender that holds the lease, empty when released.
    :param token: fencing token, incremented with every new holder.
    :param renewal: incremented with every renewal.
    """

    holder: str
    token: Int64
    renewal: Int64


@dataclass(frozen=True, slots=True)
class FenceRecord:
    """Content of a lease's fence row, written with every new holder only."""

    token: Int64


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """Timings of a lease, identical for its holder and contenders.

    :param term: validity of a confirmed renewal.
    :param margin: extra time that a contender waits because clocks run at
        different rates.
    :param order_timeout: time before the end of the term at which a holder
        stops sending to receivers that ignore fencing tokens; contenders
        wait that much longer.
    """

    term: timedelta
    margin: timedelta
    order_timeout: timedelta = timedelta(0)

    @property
    def wait(self) -> timedelta:
        """How long a contender must see the row unchanged before it acts."""
        return self.term + self.margin + self.order_timeout


def compute_min_margin(term: timedelta, drift_bound: float) -> timedelta:
    """Compute the smallest safe margin for clocks with different rates.

    A contender with a fast clock waits ``term + margin`` in only
    ``1 / (1 + drift_bound)`` of that time, while a holder with a slow clock
    keeps the lease for ``term / (1 - drift_bound)``.

    :param drift_bound: largest relative error of a clock's rate.
    """
    return term * (2 * drift_bound / (1 - drift_bound))


class LeaseState(enum.StrEnum):
    """Holder of a lease, as seen by one daemon."""

    held = 'held'
    other = 'other'
    nobody = 'nobody'


@dataclass(frozen=True, slots=True)
class LeaseStatus:
    """Status of a lease, as seen by one daemon.

    :param holder: contender named by the row when it was last read.
    :param silent_seconds: time since the table's last response about it.
    """

    lease: str
    state: LeaseState
    holder: str
    token: int
    silent_seconds: float
