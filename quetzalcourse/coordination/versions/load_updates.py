"""Tells the daemons that run batches which upstreams load weights.

The load that this answers: a version is named, and within the same moment
its step is submitted. Half of the upstreams begin to load it and refuse the
step's items for a second; a coordinator that did not know sent dozens of items
there, each of which lost a connection and its place, and learned of the
loaded weights only with the upstream's next entry in the store, a second
after they could be used.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.versions.load_plan import WeightLoad
from quetzalcourse.state.members import Topic

if TYPE_CHECKING:
    from quetzalcourse.coordination.batches.coordinator_list import (
        CoordinatorList,
    )
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.ports import Peers
    from quetzalcourse.state.members import Member


class LoadsUpdate(msgspec.Struct, frozen=True):
    """Loads of weights that begin, or that ended well.

    :param seconds: how long they are expected to take, 0 for ended ones.
    """

    loads: list[WeightLoad]
    seconds: float


class LoadUpdates:
    """Passes on loads from the daemon that orders them."""

    def __init__(
        self, coordinators: CoordinatorList, pool: Pool, peers: Peers
    ) -> None:
        """Listen to the daemon that gives orders."""
        self._coordinators = coordinators
        self._pool = pool
        self._peers = peers
        peers.subscribe(Topic.loads_told, self.on_message)

    def on_loads_started(
        self, loads: list[WeightLoad], duration: timedelta
    ) -> None:
        """Tell of loads that begin here.

        :param duration: how long they are expected to take.
        """
        self._broadcast(LoadsUpdate(loads, duration.total_seconds()))

    def on_load_done(self, load: WeightLoad) -> None:
        """Tell that an upstream holds a version."""
        self._broadcast(LoadsUpdate([load], 0))

    def on_message(self, _: Member, content: bytes) -> None:
        """Take the word of the daemon that gives orders."""
        self._apply(msgspec.msgpack.decode(content, type=LoadsUpdate))

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
