"""Slots of upstreams: requests, grants, allowances and load reports."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalcourse.state.generation import TrafficClass
    from quetzalcourse.state.manifest import Upstream


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Request for a slot.

    :param candidates: names of the upstreams that can run it, best first.
    :param deadline: time since boot after which a slot is useless.
    :param resumed: whether it resumes revoked work, which has been counted
        against the account's rate limit already.
    """

    client_account: str
    traffic_class: TrafficClass
    candidates: tuple[str, ...]
    deadline: timedelta
    resumed: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Grant of a slot to run one request on an upstream.

    :param revoked: set when the holder must stop its stream, return the slot
        and request another one. Only training grants are revoked, when humans
        need the slot.
    """

    upstream: Upstream
    traffic_class: TrafficClass
    client_account: str = ''
    revoked: asyncio.Event = field(default_factory=asyncio.Event, compare=False)


@dataclass(frozen=True, slots=True)
class QueueKey:
    """Key of a queue and its fair share.

    :param account_id: short hash of the account's name.
    """

    traffic_class: TrafficClass
    account_id: int


@dataclass(frozen=True, slots=True)
class AccountLoad:
    """Load of one account at one daemon for one upstream.

    :param waiting: requests that wait for a slot of this upstream.
    :param oldest: waiting time of the oldest of them.
    :param tokens: tokens generated since the previous report.
    """

    key: QueueKey
    running: int
    waiting: int
    oldest: timedelta
    tokens: int


@dataclass(frozen=True, slots=True)
class SlotReport:
    """Full report of a daemon to the owner of an upstream.

    :param sequence: incremented with each report on this upstream.
    :param applied: number of the newest allowance in use.
    :param held: slots of that allowance that have not expired.
    :param held_training: how many of them training may use.
    :param spares: idle slots that it keeps ready for human requests.
    """

    upstream: str
    sequence: int
    applied: int
    held: int
    held_training: int
    spares: int
    loads: tuple[AccountLoad, ...]


@dataclass(frozen=True, slots=True)
class Allowance:
    """Number of slots of an upstream that a daemon may use.

    It expires one term after the report that it answers was sent, so a
    partitioned daemon knows by its own clock when it has expired.

    :param number: incremented with each allowance to this daemon.
    :param answers: sequence of the newest report that the owner received.
    :param human: slots for human requests only.
    :param training: slots that training may use too.
    :param revoke: training requests that must return their slots now.
    :param contended: whether other daemons wait for slots, so that idle ones
        should be returned.
    """

    upstream: str
    number: int
    answers: int
    human: int
    training: int
    revoke: int = 0
    contended: bool = False

    @property
    def total(self) -> int:
        """Number of slots for both classes."""
        return self.human + self.training


@dataclass(frozen=True, slots=True)
class SlotTimings:
    """Timings of the protocol between requesters and owners of slots.

    :param term: validity of an allowance from the report that it answers.
    :param renewal: time between reports without changes.
    :param batch: how long changes that are not urgent are collected.
    :param spare_hold: how long spares are kept after the last human request.
    """

    term: timedelta = timedelta(seconds=6)
    renewal: timedelta = timedelta(seconds=2)
    batch: timedelta = timedelta(milliseconds=100)
    spare_hold: timedelta = timedelta(seconds=10)


@dataclass(eq=False, slots=True)
class SlotWaiter:
    """Slot request that waits in a queue.

    :param order: position in the order of arrival.
    :param queued: time since boot at which it arrived.
    :param granted: resolves to the grant, or fails with the refusal.
    :param asked: upstreams whose owners were asked for a slot.
    """

    order: int
    key: QueueKey
    request: SlotRequest
    queued: timedelta
    granted: asyncio.Future[Grant]
    asked: list[str] = field(default_factory=list)
