"""Slots of upstreams: who asks for one, and who holds one."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

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
