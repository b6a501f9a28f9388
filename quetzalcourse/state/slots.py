"""Slots of upstreams: who asks for one, and who holds one."""

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
    """Work that waits for a slot.

    :param candidates: names of the upstreams that could run it, best first.
    :param deadline: time since boot after which a slot is of no use.
    :param resumed: whether it goes on with work that was revoked; such work
        was counted against the account's rate before.
    """

    client_account: str
    traffic_class: TrafficClass
    candidates: tuple[str, ...]
    deadline: timedelta
    resumed: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Leave to run one request on an upstream.

    :param revoked: set once the holder must stop its stream, give the slot
        back and ask again; set for training only, when humans need the room.
    """

    upstream: Upstream
    traffic_class: TrafficClass
    client_account: str = ''
    revoked: asyncio.Event = field(default_factory=asyncio.Event, compare=False)


@dataclass(frozen=True, slots=True)
class QueueKey:
    """Whose work it is: every queue and every fair share has one.

    :param account_id: short hash of the account's name.
    """

    traffic_class: TrafficClass
    account_id: int


@dataclass(frozen=True, slots=True)
class AccountLoad:
    """What one account has at one daemon for one upstream.

    :param waiting: requests that wait for a slot of this upstream.
    :param oldest: how long the first of them has waited.
    :param tokens: generated since the report before.
    """

    key: QueueKey
    running: int
    waiting: int
    oldest: timedelta
    tokens: int


@dataclass(frozen=True, slots=True)
class SlotReport:
    """What a daemon tells the owner of an upstream, always in whole.

    :param sequence: grows by one with each report on this upstream.
    :param applied: number of the newest allowance that it follows.
    :param held: slots of that allowance that have not lapsed.
    :param held_training: how many of them training may use.
    :param spares: idle slots that it wants ready for human requests.
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
    """How many requests a daemon may run on an upstream at once.

    It ends one term after the report that it answers was sent, so a daemon
    that is cut off knows by its own clock when it lapsed.

    :param number: grows by one with each allowance to this daemon.
    :param answers: sequence of the newest report that the owner had.
    :param human: slots for human requests only.
    :param training: slots that training may use too.
    :param revoke: training requests that must give their slot back now.
    :param contended: whether others wait, so that idle slots are missed.
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
        """Requests of both classes that may run at once."""
        return self.human + self.training


@dataclass(frozen=True, slots=True)
class SlotTimings:
    """Times of the exchange between requesters and owners.

    :param term: life of an allowance after the report that it answers.
    :param renewal: time between reports when nothing changes.
    :param batch: how long changes that are not urgent are collected.
    :param spare_hold: how long spares stay after the last human request.
    """

    term: timedelta = timedelta(seconds=6)
    renewal: timedelta = timedelta(seconds=2)
    batch: timedelta = timedelta(milliseconds=100)
    spare_hold: timedelta = timedelta(seconds=10)


@dataclass(eq=False, slots=True)
class SlotWaiter:
    """Request in a queue.

    :param order: place in the order of arrival.
    :param queued: time since boot at which it arrived.
    :param granted: gets the slot, or the refusal.
    :param asked: upstreams whose owners were asked for it.
    """

    order: int
    key: QueueKey
    request: SlotRequest
    queued: timedelta
    granted: asyncio.Future[Grant]
    asked: list[str] = field(default_factory=list)
