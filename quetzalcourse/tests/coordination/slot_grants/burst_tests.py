"""Bursts of requests by many daemons at few upstreams, in virtual time."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import pytest

from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.slot_grants import grant_ledger
from quetzalcourse.lifecycle import Lifecycle
from quetzalcourse.slot_grant_components import share_slots
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.bursts import (
    BurstDaemon,
    BurstWorld,
    ReportedLimits,
)
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.peers import FakeMembers, FakeNetwork

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.upstream import Upstream

ACCOUNTS = [f'account-{number}' for number in range(82)]
FAST = (0.02, 0.04)
SLOW = (0.1, 0.2)
USUAL_RATE = 12
# All daemons together may start this many requests in 150 ms at 24 slots.
SHORTAGE_RATE = 200
ONSET = 2
MAX_REFUSALS_PER_START = 0.2
MAX_IDLE = grant_ledger.TURN
MAX_USUAL_IDLE = timedelta(milliseconds=80)
MAX_BYTES_PER_SECOND = 12_000


class FullLimits(ReportedLimits):
    """Limits of a daemon that knows no free slot."""

    def has_free_slot(self, upstream: Upstream) -> bool:
        """Find none."""
        return False


def play(
    world: BurstWorld, rate: float, seconds: float, accounts: list[str]
) -> None:
    """Play a burst after a second of usual traffic."""
    world.burst(USUAL_RATE, 1, accounts)
    world.run(1)
    world.burst(rate, seconds, accounts)
    world.run(seconds)


@pytest.mark.parametrize('factor', (6, 10))
def test_burst_with_room_exchanges_nothing(factor: int) -> None:
    # Messages about demand are sent although every request finds a slot.
    world = BurstWorld(67, seconds=FAST)
    play(world, factor * USUAL_RATE, 3, ACCOUNTS)
    assert world.count_traffic() == 0
    assert world.refusals == 0


@pytest.mark.parametrize(('daemons', 'servers'), ((67, 4), (195, 4), (67, 1)))
def test_shortage_overfills_only_at_its_onset(
    daemons: int, servers: int
) -> None:
    # Daemons with old load reports send to the same full upstreams until their
    # attempts are used up.
    rate = SHORTAGE_RATE * servers / 4
    world = BurstWorld(daemons, servers, SLOW)
    play(world, rate, ONSET, ACCOUNTS)
    at_onset, served = world.refusals, len(world.served)
    world.burst(rate, 3, ACCOUNTS)
    world.run(3)
    refused, served = world.refusals - at_onset, len(world.served) - served
    old = BurstWorld(daemons, servers, SLOW, shared=False)
    play(old, rate, ONSET, ACCOUNTS)
    at_onset = old.refusals
    old.burst(rate, 3, ACCOUNTS)
    old.run(3)
    assert refused <= MAX_REFUSALS_PER_START * served
    assert refused * 5 < old.refusals - at_onset
    # 6 slots of 150 ms each serve 40 requests a second.
    assert served >= 0.9 * 3 * 40 * servers


@pytest.mark.parametrize('rate', (0.75 * 160, SHORTAGE_RATE))
def test_no_request_waits_long_while_a_slot_is_idle(rate: float) -> None:
    # Slots stay with daemons that don't use them, or owners grant too few.
    world = BurstWorld(67, 4, SLOW)
    play(world, rate, 4, ACCOUNTS)
    assert max(world.idle) <= MAX_IDLE
    assert sorted(world.idle)[int(0.99 * len(world.idle))] <= MAX_USUAL_IDLE


def test_traffic_in_a_large_deployment() -> None:
    # The owners of slots exchange messages with all daemons.
    world = BurstWorld(350, 4, SLOW)
    play(world, SHORTAGE_RATE, 3, ACCOUNTS)
    assert world.count_traffic() <= 3 * MAX_BYTES_PER_SECOND
    total = sum(daemon.bytes.total() for daemon in world.daemons)
    assert total <= 3 * MAX_BYTES_PER_SECOND * 350 / 8


async def test_components_run_only_while_requests_wait() -> None:
    # The periodic task doesn't start with the first waiting request, or never
    # stops.
    clock, network, counters = FakeClock(), FakeNetwork(), Counters()
    members = [Member(name, name, '', name) for name in ('vm-1', 'vm-2')]
    pool = Pool('', clock, counters)
    pool.replace(PoolMember('s', 'app', '10.0.0.1:80', '', 1))
    lifecycle = Lifecycle(clock, counters)
    limits = [
        share_slots(
            FullLimits(BurstWorld(0)),
            pool,
            FakeMembers(member, members),
            network.join(member),
            lifecycle,
            clock,
            counters,
        )
        for member in members
    ]
    freed: list[str] = []
    limits[0].on_free(freed.append)
    limits[0].on_waiting('app', {'reader': 1})
    await clock.advance(timedelta(seconds=1))
    assert 'app' in freed
    assert counters.read('slot_grants') > 0
    limits[0].on_waiting('app', {})
    await clock.advance(timedelta(seconds=10))
    assert not any(one.active for one in limits)
    await lifecycle.stop()


def test_contention_ends_in_silence() -> None:
    # Daemons go on reporting after the shortage.
    world = BurstWorld(20, 1, SLOW)
    play(world, 60, 2, ACCOUNTS)
    world.run(10)
    assert not any(one.limits and one.limits.active for one in world.daemons)
    sent = world.count_traffic()
    world.run(10)
    assert 0 < world.count_traffic() == sent


def play_failure(world: BurstWorld) -> tuple[BurstDaemon, int, int]:
    """Play a shortage at one upstream until its owner grants the slots.

    :returns: the owner, and the requests served and refused so far.
    """
    play(world, 60, 2, ACCOUNTS)
    world.burst(60, 4, ACCOUNTS)
    return world.find_owner(), len(world.served), world.refusals


def count_served(world: BurstWorld, before: int) -> float:
    """Return the requests served since, as a share of what is possible."""
    return (len(world.served) - before) / 40


def test_owner_killed() -> None:
    # The owner is dead, and no daemon has been told yet.
    world = BurstWorld(20, 1, SLOW)
    owner, served, refusals = play_failure(world)
    owner.alive = False
    world.run(2)
    assert count_served(world, served) >= 2 * 0.8
    assert world.refusals - refusals <= 8 * len(world.daemons)
    world.update_members()
    refusals = world.refusals
    world.run(0.5)
    assert world.refusals - refusals <= 4 * len(world.daemons)
    served, refusals = len(world.served), world.refusals
    world.run(1)
    assert count_served(world, served) >= 0.8
    assert world.refusals - refusals <= len(world.daemons)


def test_owner_paused() -> None:
    # The owner doesn't answer for a second, then it goes on with old reports.
    world = BurstWorld(20, 1, SLOW)
    owner, served, refusals = play_failure(world)
    owner.paused = []
    world.run(1)
    assert count_served(world, served) >= 0.7
    owner.resume()
    world.run(0.5)
    assert world.refusals - refusals <= 8 * len(world.daemons)
    refusals = world.refusals
    world.run(1)
    assert world.refusals - refusals <= len(world.daemons)


def test_daemon_cut_off_from_the_others() -> None:
    # A daemon reaches the upstream but no other daemon.
    world = BurstWorld(20, 1, SLOW)
    owner, _, refusals = play_failure(world)
    apart = next(one for one in world.daemons if one is not owner)
    world.cuts.add(apart.member.vm)
    world.run(3)
    assert apart.counters.read('slot_fallback_starts') > 0
    assert world.refusals - refusals <= 4 * len(world.daemons)


def test_grants_of_a_previous_owner_are_waited_out() -> None:
    # A new owner grants slots that the previous one granted to others.
    world = BurstWorld(20, 1, SLOW)
    owner, _, _ = play_failure(world)
    owner.alive = False
    before = world.clock.elapsed()
    world.update_members()
    world.run(grant_ledger.TURN.total_seconds() / 2)
    successor = world.find_owner()
    now = world.clock.elapsed()
    assert now - before < grant_ledger.TURN
    assert successor.owners.active
    sent = successor.owners.on_tick(now).values()
    assert not any(grant.slots for grants in sent for grant in grants)


def test_upstream_that_ended_is_not_asked_for() -> None:
    # Requests wait for the slots of an upstream that is gone.
    world = BurstWorld(20, 2, SLOW)
    play(world, 120, 2, ACCOUNTS)
    world.burst(60, 3, ACCOUNTS)
    for daemon in world.daemons:
        daemon.pool.remove('s-0')
    refusals, served = world.refusals, len(world.served)
    world.run(3)
    assert count_served(world, served) >= 3 * 0.8
    assert world.refusals - refusals <= 2 * len(world.daemons)
