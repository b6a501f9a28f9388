"""A withdrawal wins over every grant, wherever and whenever it is heard."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from random import Random

import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import booleans, integers
from result import Err, Ok

from quetzalcourse.coordination.manifest.store_poller import StorePoller
from quetzalcourse.coordination.manifest.key_gossip import KeyGossip
from quetzalcourse.coordination.manifest.key_change_log import KeyChangeLog
from quetzalcourse.coordination.manifest.keys import KeyRing, hash_secret
from quetzalcourse.coordination.manifest.manifest_store import ManifestStore
from quetzalcourse.coordination.membership.partitions import StoreFreshness
from quetzalcourse.coordination.membership.membership import Digest
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.keys import KeyRecord, build_tombstone
from quetzalcourse.state.manifest import KeyHash
from quetzalcourse.state.members import Member, Topic
from quetzalcourse.state.refusal import RefusalCode
from quetzalcourse.tests.clocks import FakeClock, settle
from quetzalcourse.tests.peers import FakeMembers, FakeNetwork
from quetzalcourse.tests.tables import FakeStore

SECRET = 'a secret'
BEARER_TOKEN = f'desk.{SECRET}'
GRANT = KeyRecord('desk', 'readers', hash_secret(SECRET))
MANIFEST_KEYS = [KeyHash('desk', 'readers', hash_secret(SECRET))]


def find_refusal_code(
    ring: KeyRing, bearer: str = BEARER_TOKEN
) -> RefusalCode | None:
    """Tell why a key is refused, ``None`` if it works."""
    answer = ring.authenticate(bearer)
    return answer.err_value.code if isinstance(answer, Err) else None


class Node:
    """A daemon's keys, its follower of the store, and its spread."""

    def __init__(self, name: str, cluster: Cluster) -> None:
        """Join a cluster."""
        self.own = Member('vm', name, 'lac-hall', name)
        cluster.members.append(self.own)
        view = FakeMembers(self.own, cluster.members)
        self.ring = KeyRing()
        self.counters = Counters()
        store = cluster.store
        self.follower = StorePoller(
            store,
            ManifestStore(store, store),
            KeyChangeLog(store),
            self.ring,
            view,
            cluster.clock,
            Random(name),
            timedelta(seconds=1),
        )
        self.gossip = KeyGossip(
            self.ring,
            view,
            cluster.network.join(self.own),
            cluster.clock,
            Random(1),
            self.counters,
        )


class Cluster:
    """Some daemons with one store."""

    def __init__(self, count: int) -> None:
        """Start them without keys."""
        self.store = FakeStore()
        self.network = FakeNetwork()
        self.clock = FakeClock()
        self.members: list[Member] = []
        self.nodes = [Node(f'node-{index}', self) for index in range(count)]

    async def exchange_heartbeats(self) -> None:
        """Let each node hear a heartbeat of each other."""
        for node in self.nodes:
            for other in self.nodes:
                if other is not node:
                    self.clock.move(timedelta(seconds=1))
                    digest = Digest(0, other.ring.hash_records())
                    node.gossip.on_digest(other.own, digest)
                    await settle()


@pytest.mark.parametrize(
    'records',
    [
        (GRANT, build_tombstone('desk')),
        (build_tombstone('desk'), GRANT),
        (build_tombstone('desk'), GRANT, GRANT, build_tombstone('desk'), GRANT),
    ],
)
def test_withdrawal_wins_in_any_order(records: tuple[KeyRecord, ...]) -> None:
    # An operator withdraws a key while another grants it again, and the two
    # changes arrive in different orders at different daemons.
    ring = KeyRing()
    for record in records:
        ring.merge(record)
    ring.replace_grants(MANIFEST_KEYS)
    assert find_refusal_code(ring) is RefusalCode.key_withdrawn
    assert ring.is_withdrawn('desk')


def test_grant_outside_the_manifest_works() -> None:
    ring = KeyRing()
    ring.merge(GRANT)
    assert ring.authenticate(BEARER_TOKEN).unwrap().client_account == 'readers'
    assert find_refusal_code(ring, 'desk.other') is RefusalCode.unauthenticated
    assert find_refusal_code(ring, 'desk') is RefusalCode.unauthenticated


def test_key_removed_from_the_manifest_ends() -> None:
    # An operator takes a key out of the manifest instead of withdrawing it.
    # Requests that are running on it must be told, as after a withdrawal.
    ring = KeyRing()
    ring.replace_grants(MANIFEST_KEYS)
    ended: list[str] = []
    ring.on_withdrawn(ended.append)
    with ring.watch('desk') as withdrawn:
        assert not withdrawn.is_set()
        ring.replace_grants([])
        assert withdrawn.is_set()
    assert ended == ['desk']
    assert find_refusal_code(ring) is RefusalCode.unauthenticated


@pytest.mark.parametrize(
    ('longest', 'waited', 'code'),
    [(None, 9000, None), (60, 59, None), (60, 61, RefusalCode.not_ready)],
)
async def test_old_news_refuses_if_so_set(
    longest: int | None,
    waited: int,
    code: RefusalCode | None,
) -> None:
    # The data centre is cut off from the platform. Whether keys still work
    # after a while is the operators' choice.
    cluster = Cluster(1)
    node = cluster.nodes[0]
    news = StoreFreshness(node.follower, cluster.clock)
    limit = timedelta(seconds=longest) if longest else None
    node.ring.is_current = lambda: news.is_current(limit)
    node.ring.merge(GRANT)
    await node.follower.poll()
    cluster.store.down = True
    cluster.clock.move(timedelta(seconds=waited))
    await node.follower.poll()
    assert find_refusal_code(node.ring) is code
    assert node.follower.unreachable_since is not None


async def test_news_of_others_counts() -> None:
    # Of many daemons each reads the store rarely; the age of the newest word
    # travels with the heartbeats, or idle readers would refuse for nothing.
    cluster = Cluster(1)
    news = StoreFreshness(cluster.nodes[0].follower, cluster.clock)
    assert news.find_age() is None
    news.on_digest(cluster.members[0], Digest(0, 0, timedelta(seconds=5)))
    news.on_digest(cluster.members[0], Digest(0, 0, timedelta(seconds=9)))
    cluster.clock.move(timedelta(seconds=2))
    assert news.find_age() == timedelta(seconds=7)


async def test_withdrawal_spreads_in_a_cut_and_reaches_the_table() -> None:
    # The data centre has lost the platform. A key is withdrawn at one
    # daemon; the others must know within heartbeats, and the table must
    # have it after the cut, also if that first daemon is gone by then.
    cluster = Cluster(4)
    table = KeyChangeLog(cluster.store)
    (await table.append(GRANT)).unwrap()
    for node in cluster.nodes:
        await node.follower.poll()
        assert find_refusal_code(node.ring) is None
    cluster.store.down = True
    cluster.nodes[0].ring.withdraw('desk')
    await settle()
    await cluster.exchange_heartbeats()
    for node in cluster.nodes:
        assert find_refusal_code(node.ring) is RefusalCode.key_withdrawn
    cluster.store.down = False
    await cluster.nodes[3].follower.poll()
    started = Node('node-new', cluster)
    await started.follower.poll()
    assert find_refusal_code(started.ring) is RefusalCode.key_withdrawn
    for node in cluster.nodes[:3]:
        await node.follower.poll()
    assert (await table.read_after(0)).unwrap()[0] == 2


@pytest.mark.parametrize('fault', ['not_applied', 'lost_before', 'lost_after'])
async def test_lost_write_of_a_withdrawal_is_repeated(fault: str) -> None:
    # The table's answer is lost, or the write was. The change stays
    # unstored until the table is known to have it.
    cluster = Cluster(1)
    node = cluster.nodes[0]
    node.ring.withdraw('desk')
    cluster.store.write_faults.append(fault)
    await node.follower.poll()
    assert node.follower.list_unstored() == [build_tombstone('desk')]
    await node.follower.poll()
    assert node.follower.list_unstored() == []
    _, records = (await KeyChangeLog(cluster.store).read_after(0)).unwrap()
    assert set(records) == {build_tombstone('desk')}


async def test_operators_append_at_once() -> None:
    # Two operators change keys at the same moment; neither change is lost.
    store = FakeStore()
    first, second = KeyChangeLog(store), KeyChangeLog(store)
    for number in range(5):
        assert isinstance(
            await first.append(build_tombstone(f'a-{number}')), Ok
        )
        assert isinstance(
            await second.append(build_tombstone(f'b-{number}')), Ok
        )
    last, records = (await first.read_after(0)).unwrap()
    assert last == 10
    assert len(set(records)) == 10


async def test_only_differences_travel() -> None:
    # With thousands of withdrawn keys, one that a daemon missed must not
    # bring all of them over the wire again.
    cluster = Cluster(2)
    one, other = cluster.nodes
    for number in range(2000):
        for node in cluster.nodes:
            node.ring.merge(build_tombstone(f'key-{number}'), notify=False)
    one.ring.merge(build_tombstone('missed'), notify=False)
    cluster.network.sent.clear()
    await cluster.exchange_heartbeats()
    assert other.ring.is_withdrawn('missed')
    assert other.ring.hash_records() == one.ring.hash_records()
    sent = sum(size for *_, topic, size in cluster.network.sent)
    assert sent < 4000


async def test_reads_stay_flat() -> None:
    # Reads of the store must not grow with the daemons, nor stop when all
    # but one of them are gone.
    reads = {}
    for count in (1, 30):
        cluster = Cluster(count)
        tasks = [
            asyncio.ensure_future(node.follower.run()) for node in cluster.nodes
        ]
        await cluster.clock.advance(timedelta(seconds=100))
        reads[count] = cluster.store.reads / 100
        for task in tasks:
            task.cancel()
    assert max(reads.values()) < 1.25
    assert min(reads.values()) > 0.7


@pytest.mark.parametrize('content', [b'', b'\xff', b'\x91\x09'])
async def test_malformed_news_is_counted(content: bytes) -> None:
    # A daemon of another release sends what this one can't read.
    cluster = Cluster(2)
    one, other = cluster.nodes
    peers = cluster.network.peers[one.own.incarnation]
    peers.send(other.own, Topic.keys, content)
    await settle()
    assert other.counters.read('peer_messages_dropped', reason='keys') == 1


class WithdrawalWins(RuleBasedStateMachine):
    """Changes are made and exchanged anywhere, lost and repeated."""

    def __init__(self) -> None:
        """Start three rings without keys."""
        super().__init__()
        self.rings = [KeyRing() for _ in range(3)]
        self.made: list[KeyRecord] = []
        self.seen_withdrawn: list[set[str]] = [set() for _ in range(3)]

    @rule(key=integers(0, 2), withdrawn=booleans(), digest=integers(0, 2))
    def make(self, key: int, withdrawn: bool, digest: int) -> None:
        """An operator asks for a change somewhere."""
        record = KeyRecord(f'key-{key}', 'readers', hash_secret(str(digest)))
        self.made.append(build_tombstone(f'key-{key}') if withdrawn else record)

    @rule(who=integers(0, 2), which=integers(0, 20))
    def deliver(self, who: int, which: int) -> None:
        """Some change reaches a daemon, perhaps late or twice."""
        if self.made:
            record = self.made[which % len(self.made)]
            self.rings[who].merge(record)
            if record.withdrawn:
                self.seen_withdrawn[who].add(record.key_id)

    @rule(who=integers(0, 2), whom=integers(0, 2))
    def compare(self, who: int, whom: int) -> None:
        """Two daemons exchange their differences."""
        one, other = self.rings[who], self.rings[whom]
        mine = one.list_different(other.buckets)
        for record in other.list_different(one.buckets):
            one.merge(record)
        for record in mine:
            other.merge(record)
        assert one.records == other.records
        assert one.hash_records() == other.hash_records()
        both = self.seen_withdrawn[who] | self.seen_withdrawn[whom]
        self.seen_withdrawn[who] = set(both)
        self.seen_withdrawn[whom] = set(both)

    @rule(who=integers(0, 2))
    def apply_manifest(self, who: int) -> None:
        """A manifest grants all of the keys."""
        self.rings[who].replace_grants(
            KeyHash(f'key-{number}', 'readers', hash_secret('0'))
            for number in range(3)
        )

    @invariant()
    def withdrawn_keys_open_nothing(self) -> None:
        """A key whose withdrawal was heard works nowhere."""
        for ring, withdrawn in zip(
            self.rings, self.seen_withdrawn, strict=True
        ):
            for key_id in withdrawn:
                assert ring.is_withdrawn(key_id)
                for digest in range(3):
                    answer = ring.authenticate(f'{key_id}.{digest}')
                    assert isinstance(answer, Err)


WithdrawalWins.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, derandomize=True, deadline=None
)
TestWithdrawalWins = WithdrawalWins.TestCase
