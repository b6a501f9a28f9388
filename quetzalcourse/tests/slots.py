"""In-memory daemons that share upstreams, with faults, for tests."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.admission import Admission
from quetzalcourse.coordination.slots.distributed_slot_policy import (
    DistributedSlotPolicy,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.manifest import Manifest, Upstream, UpstreamKind
from quetzalcourse.state.members import Member, Topic
from quetzalcourse.state.slots import Grant, SlotRequest
from quetzalcourse.tests.clocks import FakeClock, settle
from quetzalcourse.tests.peers import FakeMembers, FakeNetwork
from quetzalcourse.transport.slot_link import PeerSlotLink

if TYPE_CHECKING:
    from collections.abc import Iterable

DATA_CENTRE = 'brest-b'
ONE_DAY = timedelta(days=1)
ZERO = timedelta(0)


def make_upstream(name: str = 'engine', **changes: object) -> Upstream:
    """Build an upstream with four slots."""
    fields = {
        'name': name,
        'kind': UpstreamKind.engine,
        'data_centre': DATA_CENTRE,
        'address': '127.0.0.1:1',
        'slots': 4,
    }
    return Upstream(**(fields | changes))  # type: ignore[arg-type]


def make_manifest(*upstreams: Upstream, **sections: object) -> Manifest:
    """Build a manifest with upstreams."""
    fields = {upstream.name: upstream for upstream in upstreams}
    return Manifest(1, upstreams=fields, **sections)  # type: ignore[arg-type]


class SimulatedDaemon:
    """Daemon whose requests run until they are released or revoked."""

    def __init__(self, member: Member, network: PausableNetwork) -> None:
        """Join the network."""
        self.member = member
        self.clock = FakeClock()
        self.counters = Counters()
        self.members = FakeMembers(member, [member])
        self.link = PeerSlotLink(network.join(member), self.counters)
        self.policy = DistributedSlotPolicy(self.members, self.link, self.clock)
        self.admission = Admission(self.clock, self.policy, self.counters)
        self.grants: list[Grant] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.policy.on_start()

    def follow(self, manifest: Manifest, live: list[Member]) -> None:
        """Apply a manifest and a list of live daemons."""
        self.members.change(live)
        self.link.on_manifest(manifest)
        self.admission.on_manifest(manifest)

    def ask(
        self,
        traffic_class: TrafficClass,
        candidates: Iterable[str] = ('engine',),
        account: str = 'reader',
        patience: timedelta = ONE_DAY,
    ) -> asyncio.Task[None]:
        """Start a request."""
        request = SlotRequest(
            account,
            traffic_class,
            tuple(candidates),
            self.clock.elapsed() + patience,
        )
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._hold(request))
        self.tasks.append(task)
        return task

    def release_oldest(self, tokens: int = 1) -> None:
        """Release the grant of the oldest running request."""
        if self.grants:
            self.admission.release(self.grants.pop(0), tokens)

    def count(self, traffic_class: TrafficClass) -> int:
        """Count the running requests of a class."""
        return sum(one.traffic_class is traffic_class for one in self.grants)

    async def stop(self) -> None:
        """Stop as a crash does: nothing is released and no message is sent."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.admission.on_stop()
        await self.policy.on_stop()
        self.grants.clear()

    async def _hold(self, request: SlotRequest) -> None:
        grant = await self.admission.acquire(request)
        self.grants.append(grant)
        await grant.revoked.wait()
        if grant in self.grants:
            self.grants = [one for one in self.grants if one is not grant]
            self.admission.release(grant)


class PausableNetwork(FakeNetwork):
    """Network that buffers the messages to paused daemons."""

    def __init__(self) -> None:
        """Start without paused daemons."""
        super().__init__()
        self.paused: dict[str, list[tuple[Member, Topic, bytes]]] = {}

    def carry(
        self,
        sender: Member,
        receiver: Member,
        topic: Topic,
        content: bytes,
    ) -> None:
        """Deliver a message, or buffer it."""
        buffered = self.paused.get(receiver.incarnation)
        if buffered is not None:
            buffered.append((sender, topic, content))
            return
        super().carry(sender, receiver, topic, content)

    def resume(self, member: Member) -> None:
        """Deliver the messages that arrived during a pause."""
        handlers = self.peers[member.incarnation].handlers
        for sender, topic, content in self.paused.pop(member.incarnation):
            handlers[topic](sender, content)


class Deployment:
    """Daemons of one data centre on fake clocks."""

    def __init__(self, daemon_count: int, manifest: Manifest) -> None:
        """Start daemons that know one another."""
        self.network = PausableNetwork()
        self.manifest = manifest
        self.daemons: list[SimulatedDaemon] = []
        self._joined = 0
        for _ in range(daemon_count):
            self._add()
        self.update_membership()

    def update_membership(self) -> None:
        """Give every daemon the list of live daemons."""
        live = [daemon.member for daemon in self.daemons]
        for daemon in self.daemons:
            daemon.follow(self.manifest, live)

    def join(self) -> None:
        """Start one more daemon."""
        self._add()
        self.update_membership()

    async def kill(self, daemon: SimulatedDaemon) -> None:
        """Kill a daemon together with its requests."""
        self.daemons.remove(daemon)
        self.network.leave(daemon.member)
        await daemon.stop()
        self.update_membership()

    async def pass_time(self, seconds: float) -> None:
        """Advance the clocks; tasks of paused daemons do not run."""
        remaining = seconds
        while remaining > 0:
            step = timedelta(seconds=min(remaining, 0.25))
            for daemon in tuple(self.daemons):
                if daemon.member.incarnation in self.network.paused:
                    daemon.clock.move(step)
                else:
                    await daemon.clock.advance(step)
            remaining -= 0.25
        await settle()

    def count(self, traffic_class: TrafficClass | None = None) -> int:
        """Count the running requests."""
        classes = [traffic_class] if traffic_class else list(TrafficClass)
        return sum(
            daemon.count(one) for daemon in self.daemons for one in classes
        )

    async def stop(self) -> None:
        """Stop every daemon."""
        for daemon in self.daemons:
            await daemon.stop()

    def _add(self) -> None:
        self._joined += 1
        name = f'vm-{self._joined}'
        member = Member(name, name, DATA_CENTRE, name)
        self.daemons.append(SimulatedDaemon(member, self.network))
