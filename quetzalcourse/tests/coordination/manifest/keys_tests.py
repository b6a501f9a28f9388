"""Key withdrawals override grants, whatever the order of their arrival."""

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
    """Find why a key is refused, ``None`` if it is accepted."""
    answer = ring.authenticate(bearer)
    return answer.err_value.code if isinstance(answer, Err) else None


class Node:
    """A daemon's keys, its store poller and its key gossip."""

    def __init__(self, name: str, cluster: Cluster) -> None:
        """Join a cluster."""
        self.own = Member('vm', name, 'lac-hall', name)
        cluster.members.append(self.own)
        view = FakeMembers(self.own, cluster.members)
        self.ring = KeyRing()
        self.counters = Counters()
        store = cluster.store
        self.poller = StorePoller(
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
    """Several daemons with one store."""

    def __init__(self, count: int) -> None:
        """Start the daemons without keys."""
        self.store = FakeStore()
        self.network = FakeNetwork()
        self.clock = FakeClock()
        self.members: list[Member] = []
        self.nodes = [Node(f'node-{index}', self) for index in range(count)]

    async def exchange_heartbeats(self) -> None:
        """Deliver a heartbeat of each node to each other one."""
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
def test_withdrawal_overrides_grants_in_any_order(
    records: tuple[KeyRecord, ...],
) -> None:
    # An operator withdraws a key while another one grants it again, and the two
    # changes arrive in different orders at different daemons.
    ring = KeyRing()
    for record in records:
        ring.merge(record)
    ring.replace_grants(MANIFEST_KEYS)
    assert find_refusal_code(ring) is RefusalCode.key_withdrawn
    assert ring.is_withdrawn('desk')


def test_key_granted_outside_the_manifest_is_accepted() -> None:
    ring = KeyRing()
    ring.merge(GRANT)
    assert ring.authenticate(BEARER_TOKEN).unwrap().client_account == 'readers'
    assert find_refusal_code(ring, 'desk.other') is RefusalCode.unauthenticated
    assert find_refusal_code(ring, 'desk') is RefusalCode.unauthenticated


def test_key_removed_from_the_manifest_is_refused() -> None:
    # An operator removes a key from the manifest instead of withdrawing it.
    # Requests in progress with it must be notified, as after a withdrawal.
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
    ('max_age_seconds', 'elapsed_seconds', 'code'),
    [(None, 9000, None), (60, 59, None), (60, 61, RefusalCode.not_ready)],
)
async def test_outdated_keys_are_refused_if_so_configured(
    max_age_seconds: int | None,
    elapsed_seconds: int,
    code: RefusalCode | None,
) -> None:
    # The data centre is partitioned from the platform. Whether keys are still
    # accepted after a while is up to the operators' settings.
    cluster = Cluster(1)
    node = cluster.nodes[0]
    freshness = StoreFreshness(node.poller, cluster.clock)
    max_age = timedelta(seconds=max_age_seconds) if max_age_seconds else None
    node.ring.is_current = lambda: freshness.is_current(max_age)
    node.ring.merge(GRANT)
    await node.poller.poll()
    cluster.store.down = True
    cluster.clock.move(timedelta(seconds=elapsed_seconds))
    await node.poller.poll()
    assert find_refusal_code(node.ring) is code
    assert node.poller.unreachable_since is not None


async def test_store_age_reported_by_others_is_used() -> None:
    # With many daemons each one reads the store rarely. The age of the latest
    # read travels with the heartbeats; otherwise idle daemons would refuse keys
    # although their data centre reaches the store.
    cluster = Cluster(1)
    freshness = StoreFreshness(cluster.nodes[0].poller, cluster.clock)
    assert freshness.find_age() is None
    freshness.on_digest(cluster.members[0], Digest(0, 0, timedelta(seconds=5)))
    freshness.on_digest(cluster.members[0], Digest(0, 0, timedelta(seconds=9)))
    cluster.clock.move(timedelta(seconds=2))
    assert freshness.find_age() == timedelta(seconds=7)


async def test_withdrawal_in_a_partition_reaches_peers_and_table() -> None:
    # The data centre is partitioned from the platform. A key is withdrawn at
    # one daemon; the others must know within heartbeats, and the table must
    # have it after the partition, even if that first daemon is gone by then.
    cluster = Cluster(4)
    table = KeyChangeLog(cluster.store)
    (await table.append(GRANT)).unwrap()
    for node in cluster.nodes:
        await node.poller.poll()
        assert find_refusal_code(node.ring) is None
    cluster.store.down = True
    cluster.nodes[0].ring.withdraw('desk')
    await settle()
    await cluster.exchange_heartbeats()
    for node in cluster.nodes:
        assert find_refusal_code(node.ring) is RefusalCode.key_withdrawn
    cluster.store.down = False
    await cluster.nodes[3].poller.poll()
    started = Node('node-new', cluster)
    await started.poller.poll()
    assert find_refusal_code(started.ring) is RefusalCode.key_withdrawn
    for node in cluster.nodes[:3]:
        await node.poller.poll()
    assert (await table.read_after(0)).unwrap()[0] == 2


@pytest.mark.parametrize('fault', ['not_applied', 'lost_before', 'lost_after'])
async def test_lost_write_of_a_withdrawal_is_retried(fault: str) -> None:
    # The table's answer or the write itself is lost. The change stays unstored
    # until the table is known to have it.
    cluster = Cluster(1)
    node = cluster.nodes[0]
    node.ring.withdraw('desk')
    cluster.store.write_faults.append(fault)
    await node.poller.poll()
    assert node.poller.list_unstored() == [build_tombstone('desk')]
    await node.poller.poll()
    assert node.poller.list_unstored() == []
    _, records = (await KeyChangeLog(cluster.store).read_after(0)).unwrap()
    assert set(records) == {build_tombstone('desk')}


async def test_concurrent_appends_are_all_kept() -> None:
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


async def test_only_differing_buckets_are_transferred() -> None:
    # With thousands of withdrawn keys, a single one that a daemon missed must
    # not cause all of them to be transferred again.
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


async def test_read_rate_does_not_grow_with_the_daemons() -> None:
    # The store's read rate must not grow with the number of daemons, nor drop
    # to zero when all but one of them are gone.
    reads = {}
    for count in (1, 30):
        cluster = Cluster(count)
        tasks = [
            asyncio.ensure_future(node.poller.run()) for node in cluster.nodes
        ]
        await cluster.clock.advance(timedelta(seconds=100))
        reads[count] = cluster.store.reads / 100
        for task in tasks:
            task.cancel()
    assert max(reads.values()) < 1.25
    assert min(reads.values()) > 0.7


@pytest.mark.parametrize('content', [b'', b'\xff', b'\x91\x09'])
async def test_malformed_key_message_is_counted(content: bytes) -> None:
    # A daemon of another release sends bytes that this one can't decode.
    cluster = Cluster(2)
    one, other = cluster.nodes
    peers = cluster.network.peers[one.own.incarnation]
    peers.send(other.own, Topic.keys, content)
    await settle()
    assert other.counters.read('peer_messages_dropped', reason='keys') == 1


class WithdrawalOverridesGrants(RuleBasedStateMachine):
    """Changes are made and exchanged anywhere, lost and repeated."""

    def __init__(self) -> None:
        """Start three rings without keys."""
        super().__init__()
        self.rings = [KeyRing() for _ in range(3)]
        self.changes: list[KeyRecord] = []
        self.seen_withdrawn: list[set[str]] = [set() for _ in range(3)]

    @rule(key=integers(0, 2), withdrawn=booleans(), digest=integers(0, 2))
    def make(self, key: int, withdrawn: bool, digest: int) -> None:
        """An operator requests a change."""
        record = KeyRecord(f'key-{key}', 'readers', hash_secret(str(digest)))
        self.changes.append(
            build_tombstone(f'key-{key}') if withdrawn else record
        )

    @rule(who=integers(0, 2), which=integers(0, 20))
    def deliver(self, who: int, which: int) -> None:
        """A change reaches a daemon, perhaps late or twice."""
        if self.changes:
            record = self.changes[which % len(self.changes)]
            self.rings[who].merge(record)
            if record.withdrawn:
                self.seen_withdrawn[who].add(record.key_id)

    @rule(who=integers(0, 2), whom=integers(0, 2))
    def compare(self, who: int, whom: int) -> None:
        """Two daemons reconcile their records."""
        one, other = self.rings[who], self.rings[whom]
        missing = one.list_different(other.buckets)
        for record in other.list_different(one.buckets):
            one.merge(record)
        for record in missing:
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
    def withdrawn_keys_are_refused(self) -> None:
        """A daemon refuses every key whose withdrawal it has received."""
        for ring, withdrawn in zip(
            self.rings, self.seen_withdrawn, strict=True
        ):
            for key_id in withdrawn:
                assert ring.is_withdrawn(key_id)
                for digest in range(3):
                    answer = ring.authenticate(f'{key_id}.{digest}')
                    assert isinstance(answer, Err)


WithdrawalOverridesGrants.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, derandomize=True, deadline=None
)
TestWithdrawalOverridesGrants = WithdrawalOverridesGrants.TestCase
