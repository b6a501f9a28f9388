"""Store calls through other daemons, some of which can't relay."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from quetzalcourse.coordination.feeds import store_calls
from quetzalcourse.coordination.feeds.relay_peers import RelayPeers
from quetzalcourse.coordination.feeds.store_relay import (
    MAX_RELAY_ATTEMPTS,
    MAX_RELAYED_CALLS,
    StoreRelay,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.rows import Condition, Transaction, Write
from quetzalcourse.tests.clocks import FakeClock, settle
from quetzalcourse.tests.feeds import FakeFeed
from quetzalcourse.tests.coordinators import COORDINATORS
from quetzalcourse.tests.peers import FakeNetwork

KEY = 'batches/b/head'
WRITE = Transaction((Condition(KEY, 0),), (Write(KEY, b'head'),))
CALLER, *OTHERS = COORDINATORS


class World:
    """Daemons in front of one store that refuses some of them."""

    def __init__(self) -> None:
        """Start with a store that refuses the first daemon."""
        self.clock = FakeClock()
        self.network = FakeNetwork()
        self.feed = FakeFeed(self.clock)
        self.refused = {member.vm: False for member in COORDINATORS}
        self.refused[CALLER.vm] = True
        relays = [self._build(member) for member in COORDINATORS]
        self.caller, self.relay_peers = relays[0]
        self.relay, _ = relays[1]
        for other in OTHERS:
            self.relay_peers.on_report(other, hears_store=True)

    def refuse(self, count: int) -> None:
        """Refuse some of the others as well, before their reports say so."""
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
async def test_call_is_retried_until_a_peer_can_relay(attempt: int) -> None:
    # The store starts to refuse a third of the daemons at once. A trainer's
    # submission at one of them was rejected, since the daemon that should relay
    # it was refused as well.
    world = World()
    world.refuse(len(OTHERS) - 1)
    answer = await world.caller.transact(WRITE)
    assert answer.unwrap().applied
    assert KEY in world.feed.rows


async def test_call_fails_if_no_peer_can_relay() -> None:
    """The caller is told that the call did not run."""
    world = World()
    world.refuse(len(OTHERS))
    answer = await world.caller.transact(WRITE)
    assert answer.is_err()
    assert not world.feed.rows
    attempts = [sent for sent in world.network.sent if sent[2] == 'store_asked']
    assert len(attempts) <= MAX_RELAY_ATTEMPTS


async def test_simultaneous_calls_are_relayed_up_to_the_limit() -> None:
    """Guards against a daemon that relays all calls of a burst at once."""
    world = World()
    for number in range(MAX_RELAYED_CALLS + 6):
        request = store_calls.StoreRequest(number, store_calls.ReadCall(KEY))
        world.relay.on_request(CALLER, msgspec.msgpack.encode(request))
    declined = [sent for sent in world.network.sent if sent[2] == 'store_told']
    assert len(declined) == 6
    await settle()
    world.network.sent.clear()
    request = store_calls.StoreRequest(0, store_calls.ReadCall(KEY))
    world.relay.on_request(CALLER, msgspec.msgpack.encode(request))
    assert not world.network.sent
