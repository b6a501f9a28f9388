"""Calls to the store by way of other daemons, some of which can't help."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from quetzalcourse.coordination.feeds.relay_peers import RelayPeers
from quetzalcourse.coordination.feeds.store_relay import (
    MAX_RELAY_ATTEMPTS,
    StoreRelay,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.rows import Condition, Transaction, Write
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.feeds import FakeFeed
from quetzalcourse.tests.coordinators import COORDINATORS
from quetzalcourse.tests.peers import FakeNetwork

KEY = 'batches/b/head'
WRITE = Transaction((Condition(KEY, 0),), (Write(KEY, b'head'),))
CALLER, *OTHERS = COORDINATORS


class World:
    """Daemons before one store, some of which it turns away."""

    def __init__(self) -> None:
        """Begin with a store that turns the first daemon away."""
        self.clock = FakeClock()
        self.network = FakeNetwork()
        self.feed = FakeFeed(self.clock)
        self.refused = {member.vm: False for member in COORDINATORS}
        self.refused[CALLER.vm] = True
        relays = [self._build(member) for member in COORDINATORS]
        self.caller, self.relay_peers = relays[0]
        for other in OTHERS:
            self.relay_peers.on_report(other, hears_store=True)

    def refuse(self, count: int) -> None:
        """Turn some of the others away as well, which nobody knows yet."""
        for other in OTHERS[:count]:
            self.refused[other.vm] = True

    def _build(self, member: Any) -> tuple[StoreRelay, RelayPeers]:
        refused = self.refused

        class Follower(SimpleNamespace):
            @property
            def store_unavailable(self) -> bool:
                return refused[member.vm]

        follower: Any = Follower()
        relay_peers = RelayPeers(follower, self.clock)
        feed: Any = self.feed
        peers: Any = self.network.join(member)
        tables = ('batches',)
        relay = StoreRelay(feed, feed, peers, relay_peers, tables, Counters())
        return relay, relay_peers


@pytest.mark.parametrize('attempt', range(8))
async def test_call_goes_on_to_a_daemon_that_can_help(attempt: int) -> None:
    # The store turns a third of the daemons away at one moment. A trainer's
    # submission at one of them was refused, since the daemon that should
    # pass it on had been turned away as well.
    world = World()
    world.refuse(len(OTHERS) - 1)
    answer = await world.caller.transact(WRITE)
    assert answer.unwrap().applied
    assert KEY in world.feed.rows


async def test_call_is_given_up_where_nobody_can_help() -> None:
    """Its caller is told that it has not run."""
    world = World()
    world.refuse(len(OTHERS))
    answer = await world.caller.transact(WRITE)
    assert answer.is_err()
    assert not world.feed.rows
    asked = [sent for sent in world.network.sent if sent[2] == 'store_asked']
    assert len(asked) <= MAX_RELAY_ATTEMPTS
