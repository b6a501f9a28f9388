"""Calls to the store by way of other daemons, some of which can't help."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from quetzalcourse.coordination.feeds.relay_peers import RelayPeers
from quetzalcourse.coordination.feeds.store_relay import (
    MAX_HELPERS,
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
        self.faulty = {member.vm: False for member in COORDINATORS}
        self.faulty[CALLER.vm] = True
        relays = [self._build(member) for member in COORDINATORS]
        self.caller, self.helpers = relays[0]
        for other in OTHERS:
            self.helpers.on_report(other, hears_store=True)

    def turn_away(self, count: int) -> None:
        """Turn some of the others away as well, which nobody knows yet."""
        for other in OTHERS[:count]:
            self.faulty[other.vm] = True

    def _build(self, member: Any) -> tuple[StoreRelay, RelayPeers]:
        faulty = self.faulty

        class Follower(SimpleNamespace):
            @property
            def store_unavailable(self) -> bool:
                return faulty[member.vm]

        follower: Any = Follower()
        helpers = RelayPeers(follower, self.clock)
        feed: Any = self.feed
        peers: Any = self.network.join(member)
        tables = ('batches',)
        relay = StoreRelay(feed, feed, peers, helpers, tables, Counters())
        return relay, helpers


@pytest.mark.parametrize('attempt', range(8))
async def test_call_goes_on_to_a_daemon_that_can_help(attempt: int) -> None:
    # The store turns a third of the daemons away at one moment. A trainer's
    # submission at one of them was refused, since the daemon that should
    # pass it on had been turned away as well.
    world = World()
    world.turn_away(len(OTHERS) - 1)
    answer = await world.caller.transact(WRITE)
    assert answer.unwrap().applied
    assert KEY in world.feed.rows


async def test_call_is_given_up_where_nobody_can_help() -> None:
    """Its caller is told that it has not run."""
    world = World()
    world.turn_away(len(OTHERS))
    answer = await world.caller.transact(WRITE)
    assert answer.is_err()
    assert not world.feed.rows
    asked = [sent for sent in world.network.sent if sent[2] == 'store_asked']
    assert len(asked) <= MAX_HELPERS
