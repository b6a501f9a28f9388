"""Quarantine of requests: upstreams that end, and innocent requests blamed."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from bench.figure import Figure, at_most
from quetzalcourse.coordination.quarantine.quarantine import Quarantine
from quetzalcourse.coordination.quarantine.records import (
    MAX_CRASHES,
    QuarantineRecords,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.tests.clocks import FakeClock

if TYPE_CHECKING:
    from collections.abc import Callable

FIGURES = (
    'ends_under_one_request',
    'bystanders_quarantined',
    'quarantined_by_kills',
)
UPSTREAMS = 3
REQUESTS_PER_SECOND = 60.0
SECONDS = 600.0
WORK = 0.06
CRASH = 0.08
RESTART = 3.2
POISON_EVERY = 8.0
KILL_EVERY = 4.0
RETRY = 0.3
MAX_ATTEMPTS = 2
CLIENT_ATTEMPTS = 2
POISON = 'poison'


@dataclass(eq=False)
class Call:
    """A caller's request, over all its attempts."""

    name: str
    client_attempts: int = 0
    attempts: int = 0
    tried: set[str] = field(default_factory=set)
    isolated: bool = False


@dataclass(eq=False)
class Server:
    """An upstream that ends and begins anew."""

    name: str
    run: int = 1
    is_up: bool = True
    calls: dict[Call, int] = field(default_factory=dict)


class World:
    """Callers before a few upstreams, in simulated time.

    :param informed: whether ends are told to the quarantine.
    """

    def __init__(self, seed: int, *, informed: bool) -> None:
        """Begin with all upstreams up."""
        self.clock = FakeClock()
        self.quarantine = Quarantine(QuarantineRecords(self.clock), Counters())
        self.servers = [Server(f'u-{number}') for number in range(UPSTREAMS)]
        self.ends = 0
        self.calls = 0
        self._informed = informed
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now = 0.0

    def play(self, *, poison: bool, kills: bool) -> int:
        """Play to the end.

        :returns: how many innocent requests were quarantined.
        """
        self._at(0, self._arrive)
        if poison:
            self._at(1, self._poison)
        if kills:
            self._at(1, self._kill)
        while self._events:
            at, _, event = heapq.heappop(self._events)
            self.clock.move(timedelta(seconds=at - self._now))
            self._now = at
            event()
        return len(set(self.quarantine.records.list_quarantined()) - {POISON})

    def _at(self, delay: float, event: Callable[[], None]) -> None:
        entry = (self._now + delay, next(self._numbers), event)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        self.calls += 1
        self._begin(Call(f'r-{self.calls}', client_attempts=1))
        if self._now < SECONDS:
            gap = self._random.expovariate(REQUESTS_PER_SECOND)
            self._at(gap, self._arrive)

    def _poison(self) -> None:
        self._begin(Call(POISON, client_attempts=1))
        if self._now < SECONDS:
            self._at(POISON_EVERY, self._poison)

    def _kill(self) -> None:
        self._end(self._random.choice(self.servers))
        if self._now < SECONDS:
            self._at(self._random.expovariate(1 / KILL_EVERY), self._kill)

    def _begin(self, call: Call) -> None:
        if not self.quarantine.may_begin(call.name):
            self._return_later(call)
            return
        avoided = self.quarantine.list_avoided(call.name)
        able = [
            one
            for one in self.servers
            if one.is_up and one.name not in call.tried.union(avoided)
        ]
        if not able or call.attempts >= MAX_ATTEMPTS:
            self._return_later(call)
            return
        server = min(able, key=lambda one: len(one.calls))
        call.attempts += 1
        call.tried.add(server.name)
        server.calls[call] = server.run
        call.isolated = self.quarantine.on_start(call.name, server.name)
        if call.name == POISON:
            run = server.run
            self._at(CRASH, lambda: self._crash(server, run))
        else:
            self._at(WORK, lambda: self._answer(server, call))

    def _return_later(self, call: Call) -> None:
        if call.client_attempts < CLIENT_ATTEMPTS:
            again = Call(call.name, call.client_attempts + 1)
            self._at(RETRY, lambda: self._begin(again))

    def _answer(self, server: Server, call: Call) -> None:
        run = server.calls.get(call)
        if run != server.run or not server.is_up:
            return
        self._finish(server, call)
        self.quarantine.on_answer(call.name, (server.name, run))

    def _finish(self, server: Server, call: Call) -> None:
        server.calls.pop(call)
        if call.isolated:
            self.quarantine.on_finish(call.name, server.name)

    def _crash(self, server: Server, run: int) -> None:
        if server.is_up and server.run == run:
            self.ends += 1
            self._end(server)

    def _end(self, server: Server) -> None:
        if not server.is_up:
            return
        server.is_up = False
        broken = list(server.calls)
        for call in broken:
            self._finish(server, call)
            if self._informed:
                run = (server.name, server.run)
                self.quarantine.on_crash(call.name, run, server.name)
        self._at(RESTART, lambda: self._restart(server))
        for call in broken:
            self._begin(call)

    def _restart(self, server: Server) -> None:
        server.run += 1
        server.is_up = True
        self.quarantine.on_restart((server.name, server.run), server.name)


def measure_poison() -> list[Figure]:
    """Count the ends under one request that comes again and again."""
    world = World(1, informed=True)
    blamed = world.play(poison=True, kills=False)
    before = World(1, informed=False)
    before.play(poison=True, kills=False)
    detail = (
        f'{UPSTREAMS} upstreams, a return each {POISON_EVERY:g} s for'
        f' {SECONDS:g} s, {world.calls} other requests'
    )
    return [
        Figure(
            'ends_under_one_request',
            world.ends,
            'ends',
            at_most(MAX_CRASHES + 1),
            baseline=before.ends,
            detail=f'{detail}; baseline: no quarantine',
        ),
        Figure(
            'bystanders_quarantined',
            blamed,
            'requests',
            at_most(0),
            None,
            detail,
        ),
    ]


def measure_kills() -> Figure:
    """Count the requests that are blamed for upstreams killed at random."""
    world = World(2, informed=True)
    return Figure(
        'quarantined_by_kills',
        world.play(poison=False, kills=True),
        'requests',
        at_most(0),
        detail=f'{UPSTREAMS} upstreams, one killed each {KILL_EVERY:g} s in the'
        f' mean for {SECONDS:g} s, {world.calls} requests',
    )


async def measure() -> list[Figure]:
    """Measure all of them."""
    return [*measure_poison(), measure_kills()]
