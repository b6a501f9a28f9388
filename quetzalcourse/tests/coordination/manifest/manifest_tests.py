"""Manifests are accepted once, transferred in sections and never reverted."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from random import Random

import pytest
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from hypothesis.strategies import booleans, integers, sampled_from
from result import Err, Ok

from quetzalcourse.coordination.manifest.manifest_store import (
    MANIFEST_KEY,
    ManifestConflict,
    ManifestStore,
)
from quetzalcourse.coordination.manifest.manifest_gossip import ManifestGossip
from quetzalcourse.coordination.manifest.sections import (
    NO_HEAD,
    hash_content,
    join_sections,
    split_sections,
)
from quetzalcourse.coordination.membership.membership import Digest
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.manifest import (
    ClientAccount,
    Manifest,
    Upstream,
    UpstreamKind,
)
from quetzalcourse.state.members import Member, Topic
from quetzalcourse.state.rows import StoreFault, Transaction, Write
from quetzalcourse.tests.clocks import FakeClock, settle
from quetzalcourse.tests.peers import FakeMembers, FakeNetwork
from quetzalcourse.tests.tables import FakeStore


def make_manifest(weight: float, upstreams: int = 1) -> Manifest:
    """Make a manifest that differs from others in one weight."""
    return Manifest(
        client_accounts={'desk': ClientAccount('desk', weight, 1.0, 1, 1)},
        upstreams={
            f'up-{number}': Upstream(
                f'up-{number}',
                UpstreamKind.service,
                'lac-hall',
                f'10.0.0.1:{number}',
                8,
            )
            for number in range(upstreams)
        },
    )


class Node:
    """A daemon's manifest store and gossip on a fake network."""

    def __init__(
        self,
        name: str,
        store: FakeStore,
        network: FakeNetwork,
        clock: FakeClock,
        members: list[Member],
    ) -> None:
        """Join the network."""
        self.own = Member('vm', name, 'lac-hall', name)
        members.append(self.own)
        self.manifest_store = ManifestStore(store, store)
        self.seen: list[int] = []
        self.manifest_store.on_manifest(
            lambda new: self.seen.append(new.version)
        )
        self.counters = Counters()
        self.gossip = ManifestGossip(
            self.manifest_store,
            FakeMembers(self.own, members),
            network.join(self.own),
            clock,
            Random(1),
            self.counters,
        )

    @property
    def digest(self) -> Digest:
        """Digest in the node's heartbeats."""
        return Digest(self.manifest_store.current.version)


class Group:
    """Several daemons that know each other."""

    def __init__(self, count: int) -> None:
        """Start the daemons without a manifest."""
        self.store = FakeStore()
        self.network = FakeNetwork()
        self.clock = FakeClock()
        self.members: list[Member] = []
        self.nodes = [self.add(f'node-{index}') for index in range(count)]

    def add(self, name: str) -> Node:
        """Start another daemon."""
        return Node(name, self.store, self.network, self.clock, self.members)

    async def exchange_heartbeats(self) -> None:
        """Deliver a heartbeat of each node to each other one."""
        self.clock.move(timedelta(seconds=1))
        for node in self.nodes:
            for other in self.nodes:
                if other is not node:
                    node.gossip.on_digest(other.own, other.digest)
        await settle()


@pytest.mark.parametrize('count', [0, 1, 32, 33, 890])
def test_manifest_is_rebuilt_from_its_sections(count: int) -> None:
    manifest = replace(make_manifest(1.0, count), version=7)
    joined = join_sections(7, split_sections(manifest)).unwrap()
    assert joined == manifest


def test_one_changed_upstream_changes_one_part() -> None:
    # At 3,000 changes a day, sending a whole section of 890 upstreams each time
    # would exceed a daemon's budget for control traffic.
    manifest = make_manifest(1.0, 890)
    upstreams = dict(manifest.upstreams)
    upstreams['up-5'] = replace(upstreams['up-5'], slots=9)
    before = split_sections(manifest)
    after = split_sections(replace(manifest, upstreams=upstreams))
    changed = [name for name in after if after[name] != before[name]]
    total_size = sum(len(content) for content in before.values())
    assert len(changed) == 1
    assert len(after[changed[0]]) < total_size / 15


@pytest.mark.parametrize(
    ('fault', 'kind'),
    [('', Ok), ('not_applied', Err), ('lost_before', Err), ('lost_after', Ok)],
)
async def test_outcome_is_read_back_after_a_lost_answer(
    fault: str, kind: type
) -> None:
    # The table's answer to the compare-and-set is lost. The operator is told
    # the actual outcome, and a repeated request leaves the manifest accepted
    # once.
    store = FakeStore()
    manifest_store = ManifestStore(store, store)
    store.write_faults.append(fault)
    manifest = make_manifest(1.0)
    assert isinstance(await manifest_store.accept(manifest, 0), kind)
    assert (await manifest_store.accept(manifest, 0)).unwrap() == 1
    assert (await manifest_store.refresh()).unwrap() == 1


async def test_accepted_manifest_is_found_below_a_newer_version() -> None:
    # The answer to version 1 is lost and another operator's version 2 is
    # accepted on top of it. A repeated request for version 1 must neither undo
    # version 2 nor report version 1 as rejected.
    store = FakeStore()
    manifest_store = ManifestStore(store, store)
    first, second = make_manifest(1.0), make_manifest(2.0)
    (await manifest_store.accept(first, 0)).unwrap()
    (await manifest_store.accept(second, 1)).unwrap()
    assert (await manifest_store.accept(first, 0)).unwrap() == 1
    await manifest_store.refresh()
    assert manifest_store.current == replace(second, version=2)


async def test_second_of_two_racing_operators_gets_a_conflict() -> None:
    # Two operators replace the same version. One wins; the other is told the
    # version that won, and the winner's content is in force.
    store = FakeStore()
    manifest_store = ManifestStore(store, store)
    winner, loser = make_manifest(1.0), make_manifest(2.0)
    (await manifest_store.accept(winner, 0)).unwrap()
    lost = await manifest_store.accept(loser, 0)
    assert lost == Err(ManifestConflict(1))
    await manifest_store.refresh()
    assert manifest_store.current.client_accounts == winner.client_accounts


@pytest.mark.parametrize(
    'content',
    [b'', b'\xff', b'[]', b'{"version":"x"}', b'{"version":9}'],
)
async def test_malformed_head_keeps_the_current_manifest(
    content: bytes,
) -> None:
    # The row that names the version holds bytes that can't be decoded. The
    # daemon reports it and keeps its current manifest.
    store = FakeStore()
    manifest_store = ManifestStore(store, store)
    (await manifest_store.accept(make_manifest(1.0), 0)).unwrap()
    await manifest_store.refresh()
    await store.transact(Transaction((), (Write(MANIFEST_KEY, content),)))
    refreshed = await manifest_store.refresh()
    assert isinstance(refreshed, Err)
    assert isinstance(refreshed.err_value, StoreFault)
    assert manifest_store.current.version == 1


@pytest.mark.parametrize('content', [b'', b'{"desk":1}', None])
async def test_missing_or_damaged_section_keeps_the_current_manifest(
    content: bytes | None,
) -> None:
    # An object is missing, or its content does not match its name.
    store = FakeStore()
    manifest_store = ManifestStore(store, store)
    (await manifest_store.accept(make_manifest(1.0), 0)).unwrap()
    name = hash_content(split_sections(make_manifest(1.0))['client_accounts'])
    store.objects.pop(name)
    if content is not None:
        store.objects[name] = content
    assert isinstance(await manifest_store.refresh(), Err)
    assert manifest_store.current.version == 0


async def test_change_spreads_without_the_store() -> None:
    # One daemon has read a new version; all others have lost the store. They
    # have it after a few heartbeats, and only the changed section is
    # transferred.
    group = Group(6)
    manifest_store = group.nodes[0].manifest_store
    (await manifest_store.accept(make_manifest(1.0, 300), 0)).unwrap()
    for node in group.nodes:
        await node.manifest_store.refresh()
    (await manifest_store.accept(make_manifest(2.0, 300), 1)).unwrap()
    await manifest_store.refresh()
    group.store.down = True
    group.network.sent.clear()
    for _ in range(3):
        await group.exchange_heartbeats()
    assert {node.manifest_store.current.version for node in group.nodes} == {2}
    assert all(node.seen == [1, 2] for node in group.nodes)
    sent = sum(size for *_, topic, size in group.network.sent)
    total_size = sum(map(len, split_sections(make_manifest(2.0, 300)).values()))
    assert sent < total_size


async def test_start_without_the_store_takes_the_newest_version() -> None:
    # A VM is replaced while the store is down, and the first daemon that it
    # hears from lags behind. It must start with the newest version that others
    # have.
    group = Group(3)
    manifest_store = group.nodes[0].manifest_store
    for version, lagging in enumerate(group.nodes):
        manifest = make_manifest(version + 1.0)
        (await manifest_store.accept(manifest, version)).unwrap()
        await lagging.manifest_store.refresh()
    group.store.down = True
    started = group.add('node-new')
    for delay, other in enumerate((*group.nodes, group.nodes[0])):
        group.clock.move(timedelta(seconds=delay / 2))
        started.gossip.on_digest(other.own, other.digest)
        await settle()
    assert started.seen == [3]


@pytest.mark.parametrize(
    'content', [b'', b'\xff', b'\x92\x02', b'\x93\x02\x09\x81\x01\x02']
)
async def test_malformed_manifest_message_is_counted(content: bytes) -> None:
    # A daemon of another release sends bytes that this one can't decode.
    group = Group(2)
    one, other = group.nodes
    peers = group.network.peers[one.own.incarnation]
    peers.send(other.own, Topic.manifest, content)
    await settle()
    dropped = other.counters.read('peer_messages_dropped', reason='manifest')
    assert dropped == 1


class VersionsNeverDecrease(RuleBasedStateMachine):
    """Versions arrive in any order and by any path, with damage and loss."""

    def __init__(self) -> None:
        """Start three manifest stores on one platform store."""
        super().__init__()
        self.heads: list[tuple] = []
        store = FakeStore()
        self.manifest_stores = [ManifestStore(store, store) for _ in range(3)]
        self.highest = [0, 0, 0]
        self.accepted: dict[int, Manifest] = {}

    @rule(weight=integers(1, 3))
    def accept(self, weight: int) -> None:
        """An operator gets the next version accepted."""
        version = len(self.heads)
        manifest = make_manifest(float(weight))
        sections = split_sections(manifest)
        names = {name: hash_content(body) for name, body in sections.items()}
        head = self.heads[-1][0] if self.heads else NO_HEAD
        successor = head.make_successor(names)
        contents = {names[name]: body for name, body in sections.items()}
        self.heads.append((successor, contents))
        self.accepted[version + 1] = replace(manifest, version=version + 1)

    @rule(who=integers(0, 2), which=integers(0, 20), damaged=booleans())
    def deliver(self, who: int, which: int, damaged: bool) -> None:
        """A version reaches a daemon, perhaps late or damaged."""
        if not self.heads:
            return
        head, contents = self.heads[which % len(self.heads)]
        if damaged:
            contents = {name: body + b' ' for name, body in contents.items()}
        self.manifest_stores[who].apply(head, contents)

    @rule(who=sampled_from([0, 1, 2]))
    def restart(self, who: int) -> None:
        """A daemon is replaced and starts empty."""
        store = FakeStore()
        self.manifest_stores[who] = ManifestStore(store, store)
        self.highest[who] = 0

    @invariant()
    def versions_increase_with_accepted_content(self) -> None:
        """No version decreases, and each has the accepted content."""
        for who, manifest_store in enumerate(self.manifest_stores):
            version = manifest_store.current.version
            assert version >= self.highest[who]
            self.highest[who] = version
            if version:
                assert manifest_store.current == self.accepted[version]


VersionsNeverDecrease.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, derandomize=True, deadline=None
)
TestVersionsNeverDecrease = VersionsNeverDecrease.TestCase
