"""Daemons' real admission over engines that are no more than slots."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, deque
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Any

from bench.slot_policies import AloneOnReports, FixedShares
from bench.virtual_time import VirtualClock
from quetzalcourse.coordination.slots.admission import Admission
from quetzalcourse.coordination.slots.distributed_slot_policy import (
    DistributedSlotPolicy,
)
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.manifest import (
    ClientAccount,
    Manifest,
    Upstream,
    UpstreamKind,
)
from quetzalcourse.protocol.peers import EnvelopeCodec
from quetzalcourse.state.members import Member, Topic
from quetzalcourse.state.slots import SlotRequest
from quetzalcourse.tests.peers import FakeMembers
from quetzalcourse.transport.slot_link import PeerSlotLink

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.state.slots import Grant

DATA_CENTRE = 'medina-hall'
TOKEN_SECONDS = 0.01
DELAY_SECONDS = 0.0005
DETECTION_SECONDS = 3.0
LINK_BYTES = 8
PATIENCE = timedelta(seconds=600)


@dataclass(slots=True)
class Job:
    """A request: its work and what became of it."""

    account: str
    traffic_class: TrafficClass
    tokens: int
    prefill: float
    arrived: float = 0.0
    first_byte: float | None = None
    made: int = 0
    ended: bool = False


@dataclass(eq=False, slots=True)
class Run:
    """One stay of a job in an engine."""

    job: Job
    done: asyncio.Future[Any]
    began: float | None = None
    timer: asyncio.TimerHandle | None = None


class Engine:
    """Slots, and an inner queue in the order of arrival."""

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.slots = slots
        self.running: set[Run] = set()
        self.queue: deque[Run] = deque()
        self.queue_max = 0

    @property
    def busy(self) -> int:
        """Requests inside the engine."""
        return len(self.running) + len(self.queue)

    def submit(self, job: Job) -> Run:
        """Take a job, to go on behind the tokens that it has."""
        loop = asyncio.get_running_loop()
        run = Run(job, loop.create_future())
        self.queue.append(run)
        self._fill()
        self.queue_max = max(self.queue_max, len(self.queue))
        return run

    def cancel(self, run: Run) -> None:
        """Stop a job and keep the tokens it has."""
        if run in self.queue:
            self.queue.remove(run)
        elif run in self.running:
            self._count_tokens(run)
            self._end(run)

    def _fill(self) -> None:
        loop = asyncio.get_running_loop()
        while self.queue and len(self.running) < self.slots:
            run = self.queue.popleft()
            self.running.add(run)
            run.began = loop.time()
            if run.job.first_byte is None:
                run.job.first_byte = run.began + run.job.prefill
            left = run.job.tokens - run.job.made
            seconds = run.job.prefill + left * TOKEN_SECONDS
            run.timer = loop.call_later(seconds, self._finish, run)

    def _finish(self, run: Run) -> None:
        run.job.made = run.job.tokens
        run.job.ended = True
        self._end(run)

    def _end(self, run: Run) -> None:
        if run.timer is not None:
            run.timer.cancel()
        self.running.discard(run)
        if not run.done.done():
            run.done.set_result(None)
        self._fill()

    def _count_tokens(self, run: Run) -> None:
        spent = asyncio.get_running_loop().time() - (run.began or 0)
        made = int(max(spent - run.job.prefill, 0) / TOKEN_SECONDS)
        run.job.made = min(run.job.made + made, run.job.tokens)


class Network:
    """Delays messages, counts their bytes and loses those across a cut."""

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}
        self.dead: set[str] = set()
        self.bytes: Counter[str] = Counter()
        self.seconds = 0.0
        self._codec = EnvelopeCodec((b'secret',))

    def carry(
        self,
        sender: Member,
        receiver: Member,
        content: bytes,
    ) -> None:
        sealed = self._codec.encode(
            sender, receiver.address, Topic.slots, content
        )
        size = len(sealed) + LINK_BYTES
        self.bytes[sender.incarnation] += size
        self.bytes[receiver.incarnation] += size
        if {sender.incarnation, receiver.incarnation} & self.dead:
            return
        handler = self.peers[receiver.incarnation].handler
        loop = asyncio.get_running_loop()
        loop.call_later(
            DELAY_SECONDS, self.time_call, partial(handler, sender, content)
        )

    def time_call(self, call: Callable[[], None]) -> None:
        """Count the processor time of a call."""
        began = time.process_time()
        call()
        self.seconds += time.process_time() - began


class Peer:
    """One daemon's end of the network."""

    def __init__(self, network: Network, own: Member) -> None:
        self.handler: Callable[[Member, bytes], None] = lambda *_: None
        self._network = network
        self._own = own

    def send(self, receiver: Member, topic: Topic, content: bytes) -> None:
        self._network.carry(self._own, receiver, content)

    def subscribe(
        self,
        topic: Topic,
        receive: Callable[[Member, bytes], None],
    ) -> None:
        self.handler = receive


@dataclass(frozen=True, slots=True)
class Plan:
    """What a world is made of.

    :param policy: ``owner``, ``alone`` or ``fixed``.
    """

    policy: str
    daemons: int
    engines: int
    slots: int
    headroom: int
    accounts: tuple[str, ...] = ('readers', 'trainer')
    seed: int = 1


class World:
    """Daemons, engines and the jobs that were sent to them."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.clock = VirtualClock()
        self.network = Network()
        self.counters = Counters()
        self.jobs: list[Job] = []
        self.refused = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.engines = {
            f'engine-{number}': Engine(f'engine-{number}', plan.slots)
            for number in range(plan.engines)
        }
        self.manifest = self._build_manifest()
        self.members = [
            Member(
                f'entry-{number:03}',
                f'entry-{number:03}-1a2b3c4d',
                DATA_CENTRE,
                f'10.20.30.{number}:7400',
            )
            for number in range(plan.daemons)
        ]
        self.views = [
            FakeMembers(member, list(self.members)) for member in self.members
        ]
        self.live = list(range(plan.daemons))
        self.links = [
            PeerSlotLink(self._join(member), self.counters)
            for member in self.members
        ]
        self.policies = [self._build_policy(at) for at in self.live]
        self.admissions = [
            Admission(self.clock, policy, self.counters)
            for policy in self.policies
        ]
        for at in self.live:
            self.links[at].on_manifest(self.manifest)
            self.policies[at].on_start()
            self.admissions[at].on_manifest(self.manifest)

    def submit(self, job: Job) -> asyncio.Task[None]:
        """Send a job to a random live daemon."""
        job.arrived = asyncio.get_running_loop().time()
        self.jobs.append(job)
        at = self.random.choice(self.live)
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._serve(at, job))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def kill(self, at: int) -> None:
        """Kill a daemon; the others hear of it a while later."""
        dead = self.members[at]
        self.live.remove(at)
        self.network.dead.add(dead.incarnation)
        await self.policies[at].on_stop()
        self.admissions[at].on_stop()
        for task in tuple(self.tasks):
            if task.get_name() == str(at):
                task.cancel()
        # Callers whose daemon died come again through another one.
        await asyncio.sleep(DETECTION_SECONDS)
        left = [self.members[index] for index in self.live]
        for index in self.live:
            self.views[index].change(left)

    async def stop(self) -> None:
        """End everything."""
        for policy, admission in zip(
            self.policies, self.admissions, strict=True
        ):
            await policy.on_stop()
            admission.on_stop()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.sleep(0)

    def count_busy(self) -> int:
        """Count the slots that are in use."""
        return sum(len(engine.running) for engine in self.engines.values())

    def find_queue_max(self) -> int:
        """Find the longest inner queue that any engine had."""
        return max(engine.queue_max for engine in self.engines.values())

    async def _serve(self, at: int, job: Job) -> None:
        task = asyncio.current_task()
        if task is not None:
            task.set_name(str(at))
        names = list(self.engines)
        self.random.shuffle(names)
        resumed = False
        while not job.ended:
            request = SlotRequest(
                job.account,
                job.traffic_class,
                tuple(names),
                self.clock.elapsed() + PATIENCE,
                resumed=resumed,
            )
            try:
                grant = await self.admissions[at].acquire(request)
            except RefusedError:
                self.refused += 1
                return
            await self._run(at, job, grant)
            resumed = True

    async def _run(self, at: int, job: Job, grant: Grant) -> None:
        engine = self.engines[grant.upstream.name]
        before = job.made
        run = engine.submit(job)
        revoked: asyncio.Future[Any] = asyncio.ensure_future(
            grant.revoked.wait()
        )
        try:
            await asyncio.wait(
                {run.done, revoked}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            revoked.cancel()
            engine.cancel(run)
            self.admissions[at].release(grant, job.made - before)

    def _join(self, member: Member) -> Peer:
        peer = Peer(self.network, member)
        self.network.peers[member.incarnation] = peer
        return peer

    def _build_policy(
        self,
        at: int,
    ) -> DistributedSlotPolicy | AloneOnReports | FixedShares:
        if self.plan.policy == 'alone':
            return AloneOnReports(self.engines)
        if self.plan.policy == 'fixed':
            return FixedShares(self.views[at])
        grants = DistributedSlotPolicy(
            self.views[at], self.links[at], self.clock
        )
        tick = partial(self.network.time_call, grants.on_tick)
        grants.on_tick = tick  # type: ignore[method-assign]
        return grants

    def _build_manifest(self) -> Manifest:
        upstreams = {
            name: Upstream(
                name,
                UpstreamKind.engine,
                DATA_CENTRE,
                '127.0.0.1:1',
                self.plan.slots,
                human_headroom=self.plan.headroom,
            )
            for name in self.engines
        }
        accounts = {
            name: ClientAccount(name, 1.0, 1e6, 1_000_000, 1_000_000)
            for name in self.plan.accounts
        }
        return Manifest(1, client_accounts=accounts, upstreams=upstreams)
