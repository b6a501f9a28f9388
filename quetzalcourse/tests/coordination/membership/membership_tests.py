"""Membership under partitions, pauses, replacements and message loss."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from random import Random

import pytest

from quetzalcourse.coordination.membership.membership import Membership
from quetzalcourse.coordination.membership.member_list import MemberList
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.heartbeats import MemberStatus, build_update
from quetzalcourse.state.members import Member, Topic
from quetzalcourse.tests.clocks import FakeClock, settle
from quetzalcourse.tests.peers import FakeNetwork

TICK = timedelta(milliseconds=500)
DATA_CENTRES = ('lac-hall', 'medina-hall')


class Cluster:
    """Daemons on one fake network, ticked in turn.

    :param count: number of daemons, spread over two data centres.
    """

    def __init__(self, count: int) -> None:
        """Start every daemon with the first one's address as its seed."""
        self.clock = FakeClock()
        self.network = FakeNetwork()
        self.counters = Counters()
        self.daemons: list[Membership] = []
        self.paused: set[int] = set()
        self.max_count_difference = 0
        for index in range(count):
            self.add(f'vm-{index}', f'10.0.0.{index}:7000', index)

    def add(self, incarnation: str, address: str, index: int) -> Membership:
        """Start one more daemon."""
        data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
        own = Member(f'vm-{index}', incarnation, data_centre, address)
        self.network.join(own)
        peers = AddressedPeers(self.network, own)
        daemon = Membership(
            own,
            peers,
            self.clock,
            Random(index),
            self.counters,
        )
        daemon.on_own_change(peers.update_own_member)
        daemon.replace_seeds(['10.0.0.0:7000'])
        self.daemons.append(daemon)
        return daemon

    async def run(self, seconds: float) -> None:
        """Let every daemon that is not paused send its heartbeats."""
        for _ in range(int(seconds / TICK.total_seconds())):
            self.clock.move(TICK)
            for index, daemon in enumerate(self.daemons):
                if index not in self.paused:
                    daemon.tick()
            await settle()
            counts = [
                len(daemon.list_live())
                for index, daemon in enumerate(self.daemons)
                if index not in self.paused
            ]
            self.max_count_difference = max(
                self.max_count_difference, max(counts) - min(counts)
            )

    def count_live(self) -> list[int]:
        """Count the daemons that each one considers live."""
        return [len(daemon.list_live()) for daemon in self.daemons]


class AddressedPeers:
    """Fake peers that reach whoever listens on an address, as sockets do."""

    def __init__(self, network: FakeNetwork, own: Member) -> None:
        """Wrap the daemon's end of the network."""
        self._network = network
        self._own = own
        self._peers = network.peers[own.incarnation]

    def update_own_member(self, own: Member) -> None:
        """Use a changed member as the sender from now on."""
        self._own = own

    def send(self, receiver: Member, topic: Topic, content: bytes) -> None:
        """Send to the newest daemon on the receiver's address."""
        found = [
            peers._own
            for peers in self._network.peers.values()
            if peers._own.address == receiver.address
        ]
        if found:
            self._network.carry(self._own, found[-1], topic, content)

    def subscribe(self, topic, receive) -> None:  # type: ignore[no-untyped-def]
        """Register a handler for the messages of a topic."""
        self._peers.subscribe(topic, receive)


async def start(count: int) -> Cluster:
    """Start a cluster and wait until its member lists agree."""
    cluster = Cluster(count)
    await cluster.run(30)
    assert cluster.count_live() == [count] * count
    cluster.max_count_difference = 0
    return cluster


async def test_killed_daemon_is_dropped_by_all_others() -> None:
    # A daemon is killed without notice. Callers of a slot owner that is still
    # considered live would wait for it, so all others drop it within seconds.
    cluster = await start(8)
    dead = cluster.daemons[5]
    cluster.network.leave(dead.own)
    cluster.paused.add(5)
    await cluster.run(20)
    for index, daemon in enumerate(cluster.daemons):
        if index != 5:
            assert dead.own not in daemon.list_live()
            assert len(daemon.list_live()) == 7


@pytest.mark.parametrize('pause', [1.0, 2.0, 3.0])
async def test_paused_daemon_is_not_evicted(pause: float) -> None:
    # The machine pauses a process for some seconds. If others dropped it, its
    # slots and leases would move twice for nothing; if it counted its own pause
    # as silence of the others, it would drop all of them at once.
    cluster = await start(8)
    for _ in range(5):
        cluster.paused = {2, 3}
        await cluster.run(pause)
        cluster.paused = set()
        await cluster.run(6)
    assert cluster.count_live() == [8] * 8
    assert cluster.max_count_difference == 0


async def test_pause_of_all_daemons_evicts_none() -> None:
    # A hypervisor freezes a host with most daemons and resumes them. Each
    # resumes with open probes that are seconds old.
    cluster = await start(6)
    cluster.clock.move(timedelta(seconds=60))
    await cluster.run(10)
    assert cluster.count_live() == [6] * 6
    assert cluster.max_count_difference == 0


async def test_one_way_message_loss_evicts_none() -> None:
    # A broken route loses messages from one daemon to another, in one direction
    # only. Both still answer all others, so both stay on every list.
    cluster = await start(6)
    first, second = cluster.daemons[0].own, cluster.daemons[2].own
    cluster.network.cut(first, second)
    await cluster.run(60)
    assert cluster.count_live() == [6] * 6
    assert cluster.max_count_difference == 0


async def test_lists_are_complete_after_a_long_partition() -> None:
    # Two data centres lose each other for longer than gone daemons are kept.
    # Each side keeps its own daemons, and after the partition the lists are
    # complete again, without any daemon having been dropped within a side.
    cluster = await start(8)
    sides = [cluster.daemons[0::2], cluster.daemons[1::2]]
    for first in sides[0]:
        for other in sides[1]:
            cluster.network.cut(first.own, other.own)
            cluster.network.cut(other.own, first.own)
    await cluster.run(700)
    assert cluster.count_live() == [4] * 8
    cluster.network.heal()
    await cluster.run(5)
    local = [
        len(daemon.list_live(daemon.own.data_centre))
        for daemon in cluster.daemons
    ]
    assert local == [4] * 8
    await cluster.run(40)
    assert cluster.count_live() == [8] * 8


async def test_short_partition_evicts_none_within_a_data_centre() -> None:
    # The partition ends while each side still lists the other as gone. Reports
    # of the other side must not make a data centre drop its own daemons.
    cluster = await start(8)
    sides = [cluster.daemons[0::2], cluster.daemons[1::2]]
    for first in sides[0]:
        for other in sides[1]:
            cluster.network.cut(first.own, other.own)
            cluster.network.cut(other.own, first.own)
    await cluster.run(60)
    cluster.network.heal()
    for _ in range(80):
        await cluster.run(0.5)
        for daemon in cluster.daemons:
            assert len(daemon.list_live(daemon.own.data_centre)) == 4
    assert cluster.count_live() == [8] * 8


async def test_replacement_evicts_the_previous_run() -> None:
    # A VM is replaced within a second and keeps its address. Probes of the old
    # run are answered by the new one, and only its incarnation tells them
    # apart; what the old run owned must not look owned by a live daemon.
    cluster = await start(6)
    old = cluster.daemons[3]
    cluster.network.leave(old.own)
    new = cluster.add('vm-3-new', old.own.address, 3)
    cluster.daemons[3] = cluster.daemons.pop()
    await cluster.run(12)
    assert cluster.count_live() == [6] * 6
    for daemon in cluster.daemons:
        assert new.own in daemon.list_live()
        assert old.own not in daemon.list_live()


async def test_leaving_daemon_is_dropped_without_suspicion() -> None:
    # A daemon that shuts down gracefully announces it, so that its work moves
    # before it ends, and leaves the lists without any suspicion.
    cluster = await start(6)
    leaving_daemon = cluster.daemons[1]
    leaving_daemon.announce_leaving()
    await cluster.run(8)
    for daemon in cluster.daemons:
        known = {member.vm: member for member in daemon.list_live()}
        assert known['vm-1'].leaving
    before = cluster.counters.read('suspicions')
    leaving_daemon.announce_gone()
    await settle()
    cluster.network.leave(leaving_daemon.own)
    cluster.paused.add(1)
    await cluster.run(1)
    counts = [
        len(daemon.list_live())
        for index, daemon in enumerate(cluster.daemons)
        if index != 1
    ]
    assert counts.count(5) >= 3
    await cluster.run(8)
    assert cluster.counters.read('suspicions') == before


async def test_vm_that_the_platform_removes_is_marked_leaving() -> None:
    # The platform's list says that a VM is about to be removed. One daemon
    # reads it; all, the leaving one included, act on it.
    cluster = await start(6)
    cluster.daemons[0].note_leaving([cluster.daemons[4].own.address])
    await cluster.run(8)
    assert cluster.daemons[4].own.leaving
    for daemon in cluster.daemons:
        assert cluster.daemons[4].own in daemon.list_live()


async def test_message_rate_does_not_grow_with_the_daemons() -> None:
    # Control traffic per daemon must not grow with the number of daemons.
    sent = {}
    for count in (4, 16):
        cluster = await start(count)
        cluster.network.sent.clear()
        await cluster.run(60)
        sent[count] = len(cluster.network.sent) / count / 60
    assert sent[16] <= sent[4] * 1.2
    assert sent[16] <= 6


async def test_malformed_heartbeat_is_counted() -> None:
    # Another program, or a newer release, sends bytes that are no heartbeat.
    cluster = await start(2)
    first, other = cluster.daemons
    peers = cluster.network.peers[first.own.incarnation]
    for content in (b'', b'\xff\x00', b'\x93\x01\x02\x03'):
        peers.send(other.own, Topic.heartbeat, content)
    await asyncio.sleep(0.01)
    assert (
        cluster.counters.read('peer_messages_dropped', reason='heartbeat') == 3
    )
    assert cluster.count_live() == [2, 2]


@pytest.mark.parametrize(
    ('first', 'second', 'expected'),
    [
        ((1, MemberStatus.alive), (1, MemberStatus.suspect), True),
        ((1, MemberStatus.gone), (1, MemberStatus.alive), False),
        ((1, MemberStatus.gone), (2, MemberStatus.alive), True),
        ((2, MemberStatus.suspect), (1, MemberStatus.gone), False),
    ],
)
def test_changes_are_ordered_by_counter_and_standing(
    first: tuple[int, MemberStatus],
    second: tuple[int, MemberStatus],
    expected: bool,
) -> None:
    member = Member('vm', 'vm-a', 'lac-hall', '10.0.0.1:1')
    assert (
        build_update(member, *second).supersedes(build_update(member, *first))
        is expected
    )


@pytest.mark.parametrize(
    ('known', 'leaving', 'expected'),
    [
        (MemberStatus.alive, False, MemberStatus.suspect),
        (MemberStatus.suspect, False, MemberStatus.gone),
        (MemberStatus.alive, True, MemberStatus.gone),
    ],
)
def test_gone_report_only_suspects_a_live_daemon(
    known: MemberStatus,
    leaving: bool,
    expected: MemberStatus,
) -> None:
    # Another data centre lost a daemon in a partition and reports it as gone.
    # Believed at once, that would drop a daemon that still answers here.
    member_list = MemberList()
    member = Member('vm', 'vm-a', 'lac-hall', '10.0.0.1:1', leaving)
    now = timedelta(0)
    member_list.merge(build_update(member, 1, known), now)
    member_list.merge(build_update(member, 1, MemberStatus.gone), now)
    found = member_list.find('vm-a')
    assert found is not None
    assert found.standing is expected
