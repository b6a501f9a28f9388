"""Daemons that forward a burst of requests to a few upstreams, for tests."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.slot_grants.grant_exchange import GrantExchange
from quetzalcourse.coordination.slot_grants.shared_slot_limits import (
    SharedSlotLimits,
)
from quetzalcourse.coordination.slot_grants.slot_groups import OwnerDirectory
from quetzalcourse.coordination.slot_grants.slot_owners import SlotOwners
from quetzalcourse.protocol.peers import EnvelopeCodec
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member, Topic
from quetzalcourse.state.pool import LoadReport, PoolMember
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.peers import FakeMembers

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.forwarding.upstream_slot import UpstreamSlot

SERVICE = 'guest-list'
DATA_CENTRE = 'brest-b'
TICK = timedelta(milliseconds=20)
LINK_DELAY = timedelta(milliseconds=1)
ZERO = timedelta(0)
MAX_ATTEMPTS = 3
CODEC = EnvelopeCodec((b'secret',))


class ReportedLimits:
    """Limits by own requests, load reports of late and refusals."""

    def __init__(self, world: BurstWorld) -> None:
        """Start without full upstreams."""
        self._world = world
        self._full_until: dict[str, timedelta] = {}

    def has_free_slot(self, upstream: Upstream) -> bool:
        """Compare the known load with the slots."""
        now = self._world.clock.elapsed()
        if now < self._full_until.get(upstream.name, ZERO):
            return False
        horizon = 2 * self._world.slot_time
        age = (now - upstream.other_requests_at) / horizon
        others = int(upstream.other_requests * max(0, 1 - age))
        return upstream.running + others < upstream.member.slots

    def on_full(self, upstream: Upstream) -> None:
        """Wait until a slot is likely free."""
        pause = self._world.slot_time * self._world.random.uniform(0.25, 0.75)
        self._full_until[upstream.name] = self._world.clock.elapsed() + pause

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Ignore all other notifications."""
        return lambda *_: None


@dataclass
class Server:
    """Upstream that refuses what exceeds its slots.

    :param seconds: shortest and longest service time.
    :param freed: when each slot that has been used became idle.
    """

    slots: int
    seconds: tuple[float, float]
    running: int = 0
    refusals: int = 0
    freed: deque[timedelta] = field(default_factory=deque)


@dataclass(eq=False)
class Lookup:
    """Request of a client account."""

    account: str
    arrived: timedelta
    attempts: int = 0
    slot: UpstreamSlot | None = None


class BurstDaemon:
    """Daemon with a queue in order of arrival.

    :param shared: whether it shares slots with the others, or sends each
        request at once to the least loaded upstream that it knows.
    """

    def __init__(self, world: BurstWorld, number: int, *, shared: bool) -> None:
        """Join the world."""
        name = f'vm-{number}'
        self.member = Member(
            name, f'{name}-7f3a', DATA_CENTRE, f'10.0.0.{number}:7'
        )
        self.world = world
        self.handlers: dict[Topic, Callable[[Member, bytes], None]] = {}
        self.counters = Counters()
        self.pool = Pool(DATA_CENTRE, world.clock, self.counters)
        for server, state in world.servers.items():
            self.pool.replace(
                PoolMember(server, SERVICE, server, DATA_CENTRE, state.slots)
            )
        self.queue: list[Lookup] = []
        self.bytes = Counter[str]()
        self.alive = True
        self.paused: list[Callable[[], None]] | None = None
        self.members = FakeMembers(self.member, [])
        self.limits: SharedSlotLimits | None = None
        if shared:
            directory = OwnerDirectory(self.members, world.clock)
            self.owners = SlotOwners(directory, self.pool)
            self.limits = SharedSlotLimits(
                ReportedLimits(world),
                self.pool,
                directory,
                GrantExchange(
                    directory, self.owners, self, world.clock, self.counters
                ),
                world.clock,
                self.counters,
                lambda call: world.after(ZERO, partial(self.run, call)),
                world.random,
            )
            self.limits.on_free(lambda _: self.dispatch())
            self.limits.on_activity(self._start_ticks)
        self._ticking = False

    def send(self, receiver: Member, topic: Topic, content: bytes) -> None:
        """Send a message to another daemon."""
        message = CODEC.encode(self.member, receiver.address, topic, content)
        self.bytes['sent'] += len(message)
        self.world.carry(self, receiver, topic, content, len(message))

    def subscribe(
        self, topic: Topic, receive: Callable[[Member, bytes], None]
    ) -> None:
        """Register the handler of a topic."""
        self.handlers[topic] = receive

    def run(self, call: Callable[[], None]) -> None:
        """Run a call, later while paused, never when killed."""
        if self.paused is not None:
            self.paused.append(call)
        elif self.alive:
            call()

    def resume(self) -> None:
        """Run what came during a pause."""
        calls, self.paused = self.paused or [], None
        for call in calls:
            call()

    def on_request(self, account: str) -> None:
        """Receive a request."""
        self.queue.append(Lookup(account, self.world.clock.elapsed()))
        self.dispatch()

    def dispatch(self) -> None:
        """Send what may be sent, and report what waits."""
        while self.queue:
            upstream = self._choose()
            if upstream is None:
                break
            self._send(self.queue.pop(0), upstream)
        if self.limits:
            waiting = Counter(one.account for one in self.queue)
            self.limits.on_waiting(SERVICE, waiting)

    def _choose(self) -> Upstream | None:
        if self.limits is None:
            return self.pool.choose(SERVICE)
        now = self.world.clock.elapsed()
        return min(
            filter(self.limits.has_free_slot, self.pool.list_service(SERVICE)),
            key=lambda one: (one.count_load(now), self.world.random.random()),
            default=None,
        )

    def _send(self, lookup: Lookup, upstream: Upstream) -> None:
        lookup.attempts += 1
        lookup.slot = self.pool.take_slot(upstream)
        if self.limits:
            self.limits.on_sent(upstream, lookup.account)
        self.world.after(
            LINK_DELAY, lambda: self.world.serve(self, lookup, upstream)
        )

    def on_answer(
        self, lookup: Lookup, upstream: Upstream, load: LoadReport, ran: bool
    ) -> None:
        """Apply an upstream's answer."""
        self.pool.on_load(upstream, load)
        if self.limits and not ran:
            self.limits.on_full(upstream)
        if lookup.slot is not None:
            lookup.slot.release()
        if not ran and (self.limits or lookup.attempts < MAX_ATTEMPTS):
            self.queue.insert(0, lookup)
        if self.limits:
            self.limits.on_ended(upstream, lookup.account)
        self.dispatch()

    def _start_ticks(self) -> None:
        if not self._ticking:
            self._ticking = True
            self.world.after(TICK, partial(self.run, self._tick))

    def _tick(self) -> None:
        assert self.limits
        self.limits.on_tick()
        self._ticking = False
        if self.limits.active:
            self._start_ticks()


class BurstWorld:
    """Daemons and upstreams in virtual time."""

    def __init__(
        self,
        daemons: int,
        servers: int = 4,
        seconds: tuple[float, float] = (0.02, 0.04),
        *,
        shared: bool = True,
        seed: int = 7,
    ) -> None:
        """Start daemons that know one another."""
        self.random = random.Random(seed)
        self.slot_time = timedelta(seconds=sum(seconds) / 2)
        self.clock = FakeClock()
        self.servers = {
            f's-{number}': Server(6, seconds) for number in range(servers)
        }
        self.served: list[tuple[timedelta, str, timedelta]] = []
        self.cuts: set[str] = set()
        self.idle: list[timedelta] = []
        self._numbers = itertools.count()
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self.daemons = [
            BurstDaemon(self, number, shared=shared)
            for number in range(daemons)
        ]
        self.update_members()

    def update_members(self) -> None:
        """Let every daemon know which daemons are alive."""
        live = [one.member for one in self.daemons if one.alive]
        for daemon in self.daemons:
            daemon.members.change(live)

    def find_owner(self) -> BurstDaemon:
        """Find a daemon that owns slots of the first upstream."""
        upstream = self.daemons[0].pool.list_service(SERVICE)[0]
        directory = self.daemons[0].owners.directory
        group = directory.list_groups(upstream)[0]
        owner = directory.find_owner(group, upstream)
        return next(one for one in self.daemons if one.member == owner)

    def count_traffic(self) -> int:
        """Count the bytes sent and received by the busiest daemon."""
        return max(daemon.bytes.total() for daemon in self.daemons)

    def after(self, delay: timedelta, call: Callable[[], None]) -> None:
        """Schedule a call."""
        entry = (self.clock.elapsed() + delay, next(self._numbers), call)
        heapq.heappush(self._events, entry)

    def carry(
        self,
        sender: BurstDaemon,
        receiver: Member,
        topic: Topic,
        content: bytes,
        size: int,
    ) -> None:
        """Deliver a message unless one of its ends is cut off."""
        target = next(one for one in self.daemons if one.member == receiver)
        if {sender.member.vm, receiver.vm} & self.cuts:
            return
        target.bytes['received'] += size
        handler = partial(target.handlers[topic], sender.member, content)
        self.after(LINK_DELAY, partial(target.run, handler))

    def burst(self, rate: float, seconds: float, accounts: list[str]) -> None:
        """Schedule requests, each at a random daemon of a random account."""
        at = 0.0
        while at < seconds:
            at += self.random.expovariate(rate)
            self.after(timedelta(seconds=at), partial(self._arrive, accounts))

    def run(self, seconds: float) -> None:
        """Play the events of some time."""
        end = self.clock.elapsed() + timedelta(seconds=seconds)
        while self._events and self._events[0][0] <= end:
            at, _, call = heapq.heappop(self._events)
            self.clock.move(at - self.clock.elapsed())
            call()
        self.clock.move(end - self.clock.elapsed())

    def serve(
        self, daemon: BurstDaemon, lookup: Lookup, upstream: Upstream
    ) -> None:
        """Receive a request at an upstream."""
        server = self.servers[upstream.name]
        ran = server.running < server.slots
        duration = ZERO
        if ran:
            now = self.clock.elapsed()
            freed = server.freed.popleft() if server.freed else lookup.arrived
            self.idle.append(now - max(freed, lookup.arrived))
            server.running += 1
            duration = timedelta(seconds=self.random.uniform(*server.seconds))
        else:
            server.refusals += 1
        self.after(
            duration,
            lambda: self._end(daemon, lookup, upstream, ran=ran),
        )

    @property
    def refusals(self) -> int:
        """Refusals by all upstreams."""
        return sum(server.refusals for server in self.servers.values())

    def _end(
        self,
        daemon: BurstDaemon,
        lookup: Lookup,
        upstream: Upstream,
        *,
        ran: bool,
    ) -> None:
        server = self.servers[upstream.name]
        load = LoadReport(server.running, 0, server.slots)
        if ran:
            server.running -= 1
            now = self.clock.elapsed()
            server.freed.append(now)
            self.served.append((now, lookup.account, now - lookup.arrived))
        answer = partial(daemon.on_answer, lookup, upstream, load, ran)
        self.after(LINK_DELAY, partial(daemon.run, answer))

    def _arrive(self, accounts: list[str]) -> None:
        alive = [one for one in self.daemons if one.alive]
        daemon = self.random.choice(alive)
        account = self.random.choice(accounts)
        daemon.run(partial(daemon.on_request, account))
