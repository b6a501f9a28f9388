"""Tests of the comparison of counted slots with open requests."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import pytest
from structlog.testing import capture_logs

from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.slot_audit import (
    CHECKS_BEFORE_LOST,
    SlotAudit,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.clocks import FakeClock

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.upstream_slot import (
        UpstreamSlot,
    )

ADDRESSES = ('a:80', 'b:80')


class Requests:
    """Requests that the test opens and closes."""

    def __init__(self) -> None:
        """Start without requests."""
        self.open: Counter[str] = Counter()

    def count_open(self, address: str) -> int:
        """Count the open requests at an address."""
        return self.open[address]


class World:
    """Two upstreams and the audit of their slots."""

    def __init__(self) -> None:
        """Start without requests."""
        clock = FakeClock()
        self.counters = Counters()
        self.pool = Pool('hall-a', clock, self.counters)
        for address in ADDRESSES:
            self.register(address, started=1)
        self.requests = Requests()
        self.audit = SlotAudit(self.pool, self.requests, clock, self.counters)

    def register(self, address: str, *, started: int) -> None:
        """Register a run of an upstream."""
        name = address.partition(':')[0]
        self.pool.replace(
            PoolMember(name, 'app', address, 'hall-a', 8, started=started)
        )

    def reserve(self, address: str) -> UpstreamSlot:
        """Reserve a slot of an upstream."""
        upstream = self.pool.find(address.partition(':')[0])
        assert upstream is not None
        return self.pool.take_slot(upstream)

    def check(self, times: int = CHECKS_BEFORE_LOST) -> None:
        """Run some checks."""
        for _ in range(times):
            self.audit.check()

    def read(self, name: str) -> float:
        """Read a gauge."""
        return self.counters.read(f'upstream_slots_{name}')


@pytest.fixture
def world() -> World:
    """Build two upstreams without requests."""
    return World()


def test_lost_slot_shows_in_metrics_and_log(world: World) -> None:
    """Guards against lost slots that no operator can see."""
    lost = world.reserve('a:80')
    world.reserve('a:80')
    world.reserve('b:80')
    world.requests.open.update(ADDRESSES)
    with capture_logs() as lines:
        world.check(CHECKS_BEFORE_LOST - 1)
        assert world.read('lost') == 0
        world.check(2)
    assert world.read('counted') == 3
    assert world.read('unused') == 1
    assert world.read('lost') == 1
    (line,) = [one for one in lines if one['log_level'] == 'error']
    assert (line['upstream'], line['lost'], line['counted']) == ('a', 1, 2)
    lost.release()
    world.check(1)
    assert world.read('lost') == 0


def test_further_lost_slots_show_too(world: World) -> None:
    """Guards against a loss that grows behind the first report of it."""
    world.reserve('a:80')
    world.check()
    world.reserve('a:80')
    world.reserve('b:80')
    with capture_logs() as lines:
        world.check()
    assert world.read('lost') == 3
    assert [one['lost'] for one in lines] == [2, 1]


def test_slots_that_requests_use_are_not_lost(world: World) -> None:
    """Guards against reports of slots whose requests come and go."""
    for number in range(CHECKS_BEFORE_LOST * 3):
        slot = world.reserve('a:80')
        # A request is counted before it is sent, now and then at a check.
        if number % CHECKS_BEFORE_LOST:
            world.check(1)
        world.requests.open['a:80'] = 1
        world.check(1)
        slot.release()
        world.requests.open.clear()
    assert world.read('lost') == 0


def test_upstream_that_restarts_begins_anew(world: World) -> None:
    """Guards against a loss of an ended run reported for the next one."""
    world.reserve('a:80')
    world.check()
    world.register('a:80', started=2)
    world.reserve('a:80')
    world.check(1)
    assert world.read('lost') == 0
