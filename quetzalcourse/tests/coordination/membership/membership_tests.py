"""Membership under cuts, pauses, replacements and lost messages."""

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
    """Daemons on one fake network, ticked in turns.

    :param count: how many daemons, spread over two data centres.
    """

    def __init__(self, count: int) -> None:
        """Start every daemon with the first one's address as its seed."""
        self.clock = FakeClock()
        self.network = FakeNetwork()
        self.counters = Counters()
        self.daemons: list[Membership] = []
        self.paused: set[int] = set()
        self.largest_difference = 0
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
        daemon.on_own_change(peers.replace_own)
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
            lists = [
                len(daemon.list_live())
                for index, daemon in enumerate(self.daemons)
                if index not in self.paused
            ]
            self.largest_difference = max(
                self.largest_difference, max(lists) - min(lists)
            )

    def count_live(self) -> list[int]:
        """Tell how many daemons each one counts as live."""
        return [len(daemon.list_live()) for daemon in self.daemons]


class AddressedPeers:
    """Fake peers that reach whoever listens on an address, as sockets do."""

    def __init__(self, network: FakeNetwork, own: Member) -> None:
        """Wrap the daemon's end of the network."""
        self._network = network
        self._own = own
        self._peers = network.peers[own.incarnation]

    def replace_own(self, own: Member) -> None:
        """Name a changed member as the sender from now on."""
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
        """Hand the messages of a topic to a handler."""
        self._peers.subscribe(topic, receive)


async def start(count: int) -> Cluster:
    """Start a cluster whose lists agree."""
    cluster = Cluster(count)
    await cluster.run(30)
    assert cluster.count_live() == [count] * count
    cluster.largest_difference = 0
    return cluster


async def test_death_is_noticed_once_and_everywhere() -> None:
    # A daemon is killed and says nothing. Callers of a slot owner that is
    # thought live would wait for it, so all others drop it within seconds.
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
    # The machine stops a process for some seconds. If others dropped it, its
    # slots and leases would move twice for nothing; if it judged others by
    # the silence of its own pause, it would drop all of them at once.
    cluster = await start(8)
    for _ in range(5):
        cluster.paused = {2, 3}
        await cluster.run(pause)
        cluster.paused = set()
        await cluster.run(6)
    assert cluster.count_live() == [8] * 8
    assert cluster.largest_difference == 0


async def test_pause_of_all_but_one_evicts_nobody() -> None:
    # A hypervisor freezes a host with most daemons and lets them go on.
    # Each wakes with open probes that are seconds old.
    cluster = await start(6)
    cluster.clock.move(timedelta(seconds=60))
    await cluster.run(10)
    assert cluster.count_live() == [6] * 6
    assert cluster.largest_difference == 0


async def test_one_way_cut_evicts_nobody() -> None:
    # A broken route loses messages from one daemon to another, one way
    # only. Both still answer everybody else, so both stay on every list.
    cluster = await start(6)
    first, second = cluster.daemons[0].own, cluster.daemons[2].own
    cluster.network.cut(first, second)
    await cluster.run(60)
    assert cluster.count_live() == [6] * 6
    assert cluster.largest_difference == 0


async def test_partition_heals() -> None:
    # Two data centres lose each other for longer than gone daemons are
    # remembered. Each side keeps its own, and afterwards the lists are whole
    # again, without anyone having been dropped within a side.
    cluster = await start(8)
    sides = [cluster.daemons[0::2], cluster.daemons[1::2]]
    for one in sides[0]:
        for other in sides[1]:
            cluster.network.cut(one.own, other.own)
            cluster.network.cut(other.own, one.own)
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


async def test_short_partition_heals_without_evictions_within() -> None:
    # The cut ends while each side still holds the other for gone. The word
    # of the other side must not make a data centre drop its own daemons.
    cluster = await start(8)
    sides = [cluster.daemons[0::2], cluster.daemons[1::2]]
    for one in sides[0]:
        for other in sides[1]:
            cluster.network.cut(one.own, other.own)
            cluster.network.cut(other.own, one.own)
    await cluster.run(60)
    cluster.network.heal()
    for _ in range(80):
        await cluster.run(0.5)
        for daemon in cluster.daemons:
            assert len(daemon.list_live(daemon.own.data_centre)) == 4
    assert cluster.count_live() == [8] * 8


async def test_replacement_at_the_same_address() -> None:
    # A VM is replaced within a second and keeps its address. Probes of the
    # old run are answered by the new one, and only its name tells them
    # apart; what the old one owned must not seem alive.
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


async def test_leaving_is_told_and_then_gone() -> None:
    # A daemon that stops gracefully says so first, so that its work moves
    # before it ends, and leaves the lists without any suspicion.
    cluster = await start(6)
    leaving_daemon = cluster.daemons[1]
    leaving_daemon.announce_leaving()
    await cluster.run(8)
    for daemon in cluster.daemons:
        held = {member.vm: member for member in daemon.list_live()}
        assert held['vm-1'].leaving
    before = cluster.counters.read('suspicions')
    leaving_daemon.announce_gone()
    await settle()
    cluster.network.leave(leaving_daemon.own)
    cluster.paused.add(1)
    await cluster.run(1)
    told = [
        len(daemon.list_live())
        for index, daemon in enumerate(cluster.daemons)
        if index != 1
    ]
    assert told.count(5) >= 3
    await cluster.run(8)
    assert cluster.counters.read('suspicions') == before


async def test_platform_tells_who_leaves() -> None:
    # The platform's list says that a VM is about to go. One daemon reads it;
    # all, the leaving one included, act on it.
    cluster = await start(6)
    cluster.daemons[0].note_leaving([cluster.daemons[4].own.address])
    await cluster.run(8)
    assert cluster.daemons[4].own.leaving
    for daemon in cluster.daemons:
        assert cluster.daemons[4].own in daemon.list_live()


async def test_messages_stay_bounded() -> None:
    # Load for control has to stay the same however many daemons there are.
    sent = {}
    for count in (4, 16):
        cluster = await start(count)
        cluster.network.sent.clear()
        await cluster.run(60)
        sent[count] = len(cluster.network.sent) / count / 60
    assert sent[16] <= sent[4] * 1.2
    assert sent[16] <= 6


async def test_malformed_heartbeat_is_counted() -> None:
    # Another program, or a newer version, sends bytes that are no heartbeat.
    cluster = await start(2)
    one, other = cluster.daemons
    peers = cluster.network.peers[one.own.incarnation]
    for content in (b'', b'\xff\x00', b'\x93\x01\x02\x03'):
        peers.send(other.own, Topic.heartbeat, content)
    await asyncio.sleep(0.01)
    assert (
        cluster.counters.read('peer_messages_dropped', reason='heartbeat') == 3
    )
    assert cluster.count_live() == [2, 2]


@pytest.mark.parametrize(
    ('first', 'second', 'beaten'),
    [
        ((1, MemberStatus.alive), (1, MemberStatus.suspect), True),
        ((1, MemberStatus.gone), (1, MemberStatus.alive), False),
        ((1, MemberStatus.gone), (2, MemberStatus.alive), True),
        ((2, MemberStatus.suspect), (1, MemberStatus.gone), False),
    ],
)
def test_news_are_ordered(
    first: tuple[int, MemberStatus],
    second: tuple[int, MemberStatus],
    beaten: bool,
) -> None:
    member = Member('vm', 'vm-a', 'lac-hall', '10.0.0.1:1')
    assert (
        build_update(member, *second).supersedes(build_update(member, *first))
        is beaten
    )


@pytest.mark.parametrize(
    ('held', 'leaving', 'expected'),
    [
        (MemberStatus.alive, False, MemberStatus.suspect),
        (MemberStatus.suspect, False, MemberStatus.gone),
        (MemberStatus.alive, True, MemberStatus.gone),
    ],
)
def test_word_of_others_casts_suspicion(
    held: MemberStatus,
    leaving: bool,
    expected: MemberStatus,
) -> None:
    # Another data centre lost a daemon in a cut and says that it is gone.
    # Believed at once, that would take a well heard daemon off the list.
    roster = MemberList()
    member = Member('vm', 'vm-a', 'lac-hall', '10.0.0.1:1', leaving)
    now = timedelta(0)
    roster.merge(build_update(member, 1, held), now)
    roster.merge(build_update(member, 1, MemberStatus.gone), now)
    found = roster.find('vm-a')
    assert found is not None
    assert found.standing is expected
