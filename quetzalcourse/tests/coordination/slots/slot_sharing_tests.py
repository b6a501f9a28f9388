"""Tests of daemons that share an upstream: crashes, partitions and joins."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from quetzalcourse.coordination.slots.ownership import find_owner
from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.slots import SlotTimings
from quetzalcourse.tests.slots import (
    Deployment,
    SimulatedDaemon,
    make_manifest,
    make_upstream,
)

HUMAN = TrafficClass.human
TRAINING = TrafficClass.training
TERMS = SlotTimings()
SLOTS = 8
HEADROOM = 2
FALLBACK = 2
RECOVERY_SECONDS = 2 * (TERMS.term + TERMS.renewal).total_seconds()
MANIFEST = make_manifest(make_upstream(slots=SLOTS, human_headroom=HEADROOM))


def find_owner_daemon(deployment: Deployment) -> SimulatedDaemon:
    """Find the daemon that owns the engine."""
    members = [holder.member for holder in deployment.daemons]
    owner = find_owner('engine', members)
    return next(
        holder for holder in deployment.daemons if holder.member == owner
    )


async def fill_with_training(deployment: Deployment, requests: int) -> None:
    """Request training slots on every daemon."""
    for holder in deployment.daemons:
        for _ in range(requests):
            holder.ask(TRAINING)
    await deployment.pass_time(2 * RECOVERY_SECONDS)


async def test_single_daemon_sends_no_messages() -> None:
    deployment = Deployment(1, MANIFEST)
    holder = deployment.daemons[0]
    for _ in range(SLOTS):
        holder.ask(TRAINING)
    await deployment.pass_time(0.25)
    assert deployment.count(TRAINING) == SLOTS - HEADROOM
    assert not deployment.network.sent
    await deployment.stop()


async def test_slots_follow_demand_to_one_daemon() -> None:
    # All samples of a step come from the daemon that runs it. With a fixed
    # share per daemon, most slots would stay idle while that daemon's queue is
    # full.
    deployment = Deployment(3, MANIFEST)
    await deployment.pass_time(RECOVERY_SECONDS)
    for _ in range(SLOTS):
        deployment.daemons[0].ask(TRAINING)
    await deployment.pass_time(1)
    assert deployment.daemons[0].count(TRAINING) == SLOTS - HEADROOM
    await deployment.stop()


async def test_spare_slot_serves_human_without_a_round_trip() -> None:
    # A round trip to the owner delays each human request, and by seconds if the
    # message is lost.
    deployment = Deployment(2, MANIFEST)
    await deployment.pass_time(RECOVERY_SECONDS)
    for holder in deployment.daemons:
        holder.ask(HUMAN)
    await deployment.pass_time(TERMS.spare_hold.total_seconds() / 2)
    sent = len(deployment.network.sent)
    tasks = [holder.ask(HUMAN) for holder in deployment.daemons]
    for _ in range(3):
        await asyncio.sleep(0)
    assert [len(holder.grants) for holder in deployment.daemons] == [2, 2]
    assert len(deployment.network.sent) == sent
    assert not any(task.done() for task in tasks)
    await deployment.stop()


async def test_lost_slot_request_is_resent_before_renewal() -> None:
    # The message that requests a slot for a human is lost. Although slots are
    # free, the request would wait for the next renewal, seconds later.
    deployment = Deployment(2, MANIFEST)
    await deployment.pass_time(RECOVERY_SECONDS)
    owner = find_owner_daemon(deployment)
    other = next(one for one in deployment.daemons if one is not owner)
    deployment.network.cut(other.member, owner.member)
    other.ask(HUMAN)
    await deployment.pass_time(0.1)
    assert not other.grants
    deployment.network.heal()
    await deployment.pass_time(TERMS.renewal.total_seconds() / 4)
    assert len(other.grants) == 1
    await deployment.stop()


async def test_human_requests_revoke_training_slots() -> None:
    # Training fills all slots except the headroom. More human requests arrive
    # at once than fit into the headroom; without revocation they would wait for
    # the end of long training streams.
    deployment = Deployment(2, MANIFEST)
    await fill_with_training(deployment, SLOTS)
    for holder in deployment.daemons:
        for _ in range(HEADROOM):
            holder.ask(HUMAN)
    await deployment.pass_time(1)
    assert deployment.count(HUMAN) == 2 * HEADROOM
    assert deployment.count() <= SLOTS
    await deployment.stop()


async def test_owner_death_neither_loses_nor_overcommits_slots() -> None:
    # The owner dies while every slot is in use. A new owner that granted at
    # once would grant slots that others still use; one that waited for the dead
    # daemon's requests would lose their slots for good.
    deployment = Deployment(3, MANIFEST)
    await fill_with_training(deployment, SLOTS)
    owner = find_owner_daemon(deployment)
    lost = len(owner.grants)
    await deployment.kill(owner)
    before = deployment.count()
    assert before == SLOTS - HEADROOM - lost
    for _ in range(int(TERMS.term.total_seconds()) - 1):
        await deployment.pass_time(1)
        assert before <= deployment.count() <= SLOTS
    await deployment.pass_time(RECOVERY_SECONDS)
    assert deployment.count() == SLOTS - HEADROOM
    await deployment.stop()


async def test_partitioned_daemon_keeps_only_fallback_share() -> None:
    # A daemon no longer hears the owner, though both are live. It must not go
    # on using slots that the owner grants to others after a while.
    deployment = Deployment(2, MANIFEST)
    await fill_with_training(deployment, SLOTS)
    owner = find_owner_daemon(deployment)
    other = next(one for one in deployment.daemons if one is not owner)
    deployment.network.cut(owner.member, other.member)
    await deployment.pass_time(RECOVERY_SECONDS)
    assert other.count(TRAINING) <= FALLBACK
    assert deployment.count() <= SLOTS + FALLBACK
    deployment.network.heal()
    await deployment.pass_time(RECOVERY_SECONDS)
    assert deployment.count() == SLOTS - HEADROOM
    await deployment.stop()


async def test_two_owners_converge_on_reported_load() -> None:
    # The daemons can't hear each other and each believes that it is the only
    # one. Together they run up to twice what the engine can, and requests queue
    # inside it, until each sees the other's requests in the engine's load
    # report.
    deployment = Deployment(2, MANIFEST)
    for holder in deployment.daemons:
        holder.follow(MANIFEST, [holder.member])
    await fill_with_training(deployment, 5 * SLOTS)
    assert deployment.count() > SLOTS
    for _ in range(20):
        for holder in deployment.daemons:
            owner = holder.policy.owned.find('engine')
            assert owner is not None
            owner.on_load(deployment.count(), holder.clock.elapsed())
        for holder in deployment.daemons:
            holder.release_oldest()
        await deployment.pass_time(4)
    assert deployment.count() <= SLOTS
    assert all(holder.grants for holder in deployment.daemons)
    await deployment.stop()


async def test_remote_slots_are_used_when_local_ones_are_taken() -> None:
    # The data centre of the caller is full. Its requests would wait although
    # another data centre has free slots; the cheapest of those comes first.
    far = make_upstream('far', data_centre='vannes-c', price_per_hour=2.0)
    cheap = make_upstream('cheap', data_centre='vannes-c', price_per_hour=1.0)
    manifest = make_manifest(make_upstream(), far, cheap)
    deployment = Deployment(2, manifest)
    local_daemon, remote_daemon = deployment.daemons
    remote_daemon.member = type(remote_daemon.member)(
        'vm-9', 'vm-9', 'vannes-c', 'vm-9'
    )
    remote_daemon = SimulatedDaemon(remote_daemon.member, deployment.network)
    deployment.daemons[1] = remote_daemon
    deployment.update_membership()
    await deployment.pass_time(RECOVERY_SECONDS)
    tasks = [
        local_daemon.ask(HUMAN, ('engine', 'far', 'cheap')) for _ in range(6)
    ]
    await deployment.pass_time(2)
    names = sorted(grant.upstream.name for grant in local_daemon.grants)
    assert names == ['cheap', 'cheap', 'engine', 'engine', 'engine', 'engine']
    assert len(tasks) == len(local_daemon.grants)
    # Once partitioned, the daemon may use its earlier allowance for one term
    # and no longer.
    local_daemon.follow(manifest, [local_daemon.member])
    await deployment.pass_time(TERMS.term.total_seconds())
    local_daemon.ask(HUMAN, ('far',))
    await deployment.pass_time(2)
    assert local_daemon.admission.waiting() == 1
    await deployment.stop()


@pytest.mark.parametrize('graceful', [True, False])
async def test_new_daemon_gets_its_share(graceful: bool) -> None:
    # A daemon joins while all slots are in use, and may become the owner.
    deployment = Deployment(2, MANIFEST)
    await fill_with_training(deployment, SLOTS)
    deployment.join()
    joined = deployment.daemons[-1]
    for _ in range(SLOTS):
        joined.ask(TRAINING)
    await deployment.pass_time(RECOVERY_SECONDS)
    assert deployment.count() <= SLOTS
    for holder in deployment.daemons[:2]:
        holder.release_oldest()
        if not graceful:
            holder.release_oldest()
    await deployment.pass_time(RECOVERY_SECONDS)
    assert joined.count(TRAINING) >= 1
    assert deployment.count() == SLOTS - HEADROOM
    await deployment.stop()


class SharedSlots(RuleBasedStateMachine):
    """Daemons join, die, pause and lose messages in any order.

    Daemons without a fault never run more than the slots and the fallback
    shares; once all faults are over, no slot stays unused and none is used
    twice.
    """

    def __init__(self) -> None:
        """Start two daemons."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.faulty: set[str] = set()
        self.paused: set[str] = set()
        self.deployment = self.run(self._build())

    def run(self, work):  # type: ignore[no-untyped-def]
        return self.loop.run_until_complete(work)

    def pick(self, number: int) -> SimulatedDaemon:
        return self.deployment.daemons[number % len(self.deployment.daemons)]

    @rule(
        number=st.integers(0, 3), human=st.booleans(), count=st.integers(1, 6)
    )
    def ask(self, number: int, human: bool, count: int) -> None:
        self.run(
            self._ask(self.pick(number), HUMAN if human else TRAINING, count)
        )

    @rule(number=st.integers(0, 3), count=st.integers(1, 4))
    def end(self, number: int, count: int) -> None:
        self.run(self._end(self.pick(number), count))

    @rule(seconds=st.sampled_from([0.25, 1.0, 5.0, 9.0]))
    def wait(self, seconds: float) -> None:
        self.run(self.deployment.pass_time(seconds))

    @rule(number=st.integers(0, 3))
    def kill(self, number: int) -> None:
        if len(self.deployment.daemons) > 1:
            self.run(self.deployment.kill(self.pick(number)))

    @rule()
    def join(self) -> None:
        if len(self.deployment.daemons) < 4:
            self.run(self._join())

    @rule(number=st.integers(0, 3))
    def cut(self, number: int) -> None:
        victim = self.pick(number).member
        self.faulty.add(victim.incarnation)
        for holder in self.deployment.daemons:
            self.deployment.network.cut(holder.member, victim)

    @rule(number=st.integers(0, 3))
    def pause(self, number: int) -> None:
        name = self.pick(number).member.incarnation
        self.faulty.add(name)
        self.paused.add(name)
        self.deployment.network.paused.setdefault(name, [])

    @rule()
    def recover(self) -> None:
        self.run(self._recover())
        running = self.deployment.count()
        asked = running + sum(
            holder.admission.waiting() for holder in self.deployment.daemons
        )
        assert running <= SLOTS
        assert running >= min(asked, SLOTS - HEADROOM)

    @invariant()
    def running_requests_stay_within_slots(self) -> None:
        # A paused daemon can't release anything, and human requests are not
        # revoked from a daemon that is partitioned.
        running = 0
        for holder in self.deployment.daemons:
            name = holder.member.incarnation
            if name not in self.paused:
                running += holder.count(TRAINING)
            if name not in self.faulty:
                running += holder.count(HUMAN)
        assert running <= SLOTS + FALLBACK

    def teardown(self) -> None:
        self.run(self.deployment.stop())
        self.loop.close()

    async def _build(self) -> Deployment:
        return Deployment(2, MANIFEST)

    async def _ask(
        self,
        holder: SimulatedDaemon,
        traffic_class: TrafficClass,
        count: int,
    ) -> None:
        for _ in range(count):
            holder.ask(traffic_class)
        await self.deployment.pass_time(0.25)

    async def _end(self, holder: SimulatedDaemon, count: int) -> None:
        for _ in range(count):
            holder.release_oldest()
        await self.deployment.pass_time(0.25)

    async def _join(self) -> None:
        self.deployment.join()

    async def _recover(self) -> None:
        network = self.deployment.network
        network.heal()
        for holder in self.deployment.daemons:
            if holder.member.incarnation in network.paused:
                network.resume(holder.member)
        await self.deployment.pass_time(2 * RECOVERY_SECONDS)
        self.faulty.clear()
        self.paused.clear()


SharedSlotsTests = SharedSlots.TestCase
SharedSlotsTests.settings = settings(
    derandomize=True,
    max_examples=25,
    stateful_step_count=15,
    deadline=timedelta(minutes=1),
)
