"""Notifies the daemons that run batches of weight loads.

A version is named, and its step is submitted at the same time. Half of the
upstreams start to load it and refuse the step's items for a second. A
coordinator without these updates would send dozens of items there, each of
which would lose a connection and its place in the order, and would see the
loaded weights only with the upstream's next registration in the store, a second
after they could be used.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.versions.load_plan import WeightLoad
from quetzalcourse.state.decoding import decode_msgpack
from quetzalcourse.state.members import Topic

if TYPE_CHECKING:
    from quetzalcourse.coordination.batches.coordinator_list import (
        CoordinatorList,
    )
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.ports import Peers
    from quetzalcourse.state.members import Member


class LoadsUpdate(msgspec.Struct, frozen=True):
    """Loads of weights that start, or that have succeeded.

    :param seconds: expected duration, 0 for loads that have succeeded.
    """

    loads: list[WeightLoad]
    seconds: float


class LoadUpdates:
    """Broadcasts weight loads from the daemon that orders them."""

    def __init__(
        self, coordinators: CoordinatorList, pool: Pool, peers: Peers
    ) -> None:
        """Subscribe to the updates of the daemon that orders loads."""
        self._coordinators = coordinators
        self._pool = pool
        self._peers = peers
        peers.subscribe(Topic.loads_told, self.on_message)

    def on_loads_started(
        self, loads: list[WeightLoad], duration: timedelta
    ) -> None:
        """Broadcast loads that start.

        :param duration: expected duration of each load.
        """
        self._broadcast(LoadsUpdate(loads, duration.total_seconds()))

    def on_load_done(self, load: WeightLoad) -> None:
        """Broadcast that an upstream holds a version."""
        self._broadcast(LoadsUpdate([load], 0))

    def on_message(self, _: Member, content: bytes) -> None:
        """Apply an update of the daemon that orders loads."""
        self._apply(decode_msgpack(content, LoadsUpdate))

    def _broadcast(self, update: LoadsUpdate) -> None:
        self._apply(update)
        content = msgspec.msgpack.encode(update)
        for member in self._coordinators.list_others():
            self._peers.send(member, Topic.loads_told, content)

    def _apply(self, update: LoadsUpdate) -> None:
        for load in update.loads:
            upstream = self._pool.find(load.upstream)
            if upstream is None:
                continue
            if update.seconds:
                expected = timedelta(seconds=update.seconds)
                self._pool.on_loading(upstream, load.model, expected)
            else:
                self._pool.on_version(upstream, load.model, load.version)
