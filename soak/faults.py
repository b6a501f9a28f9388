"""Faults of the soak: a seeded series that overlaps."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.upstream import UpstreamStandin
from soak.proxy import Harm

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from soak.world import SoakWorld

SHORTEST = 0.3
LONGEST = 3.0
PAUSE = 0.8
# How far a calendar jumps, in seconds; windows of usage last two.
JUMPS = (-30, -5, -1.5, 1.5, 5, 30)


class FaultSeries:
    """Injects faults at random moments, also several at a time.

    :param world: what is harmed.
    :param places: whether data centres are evacuated and servers come back
        cold, besides all else.
    """

    def __init__(
        self,
        world: SoakWorld,
        seed: int,
        *,
        places: bool = False,
    ) -> None:
        """Begin with nothing harmed."""
        self.log: list[str] = []
        self._world = world
        self._random = random.Random(seed)
        self._running: set[asyncio.Task[None]] = set()
        self._kinds: list[Callable[[float], Awaitable[None]]] = [
            self.kill,
            self.terminate,
            self.freeze,
            self.move_calendar,
            self.harm_store_link,
            self.harm_server_link,
            self.break_store,
            self.lose_writes,
            self.forget_history,
            self.crash_server,
            self.slow_server,
            self.cut_streams,
            self.lose_answers,
            self.change_manifest,
        ]
        if places:
            self._kinds += [self.evacuate, self.restart_cold]

    async def run(self, stop: asyncio.Event) -> None:
        """Inject faults until told to stop, then let them end."""
        while not stop.is_set():
            kind = self._random.choice(self._kinds)
            length = self._random.uniform(SHORTEST, LONGEST)
            self.log.append(f'{kind.__name__} {length:.1f}')
            task = asyncio.ensure_future(self._inject(kind, length))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(self._random.expovariate(1 / PAUSE))
        await asyncio.gather(*self._running)

    async def _inject(
        self,
        kind: Callable[[float], Awaitable[None]],
        length: float,
    ) -> None:
        await kind(length)

    async def kill(self, _: float) -> None:
        """Kill a daemon; it starts again."""
        self._random.choice(self._world.daemons).kill()

    async def terminate(self, _: float) -> None:
        """Stop a daemon gracefully; it starts again."""
        self._random.choice(self._world.daemons).terminate()

    async def freeze(self, length: float) -> None:
        """Pause a daemon."""
        daemon = self._random.choice(self._world.daemons)
        daemon.freeze()
        await asyncio.sleep(length)
        daemon.thaw()

    async def move_calendar(self, length: float) -> None:
        """Let the calendar of one daemon jump, and jump back.

        One at a time: daemons go by what most calendars say.
        """
        daemon = self._random.choice(self._world.daemons)
        jump = self._random.choice(JUMPS)
        if any(one.calendar_error for one in self._world.daemons):
            return
        daemon.move_calendar(jump)
        await asyncio.sleep(length)
        daemon.move_calendar(0)

    async def harm_store_link(self, length: float) -> None:
        """Harm the way of a daemon to the store."""
        proxy = self._random.choice(self._world.store_links)
        proxy.harm = self._random.choice(list(Harm))
        await asyncio.sleep(length)
        proxy.harm = Harm.none

    async def harm_server_link(self, length: float) -> None:
        """Harm the way of all daemons to a server."""
        proxy = self._random.choice(list(self._world.server_links.values()))
        proxy.harm = self._random.choice(list(Harm))
        await asyncio.sleep(length)
        proxy.harm = Harm.none

    async def break_store(self, length: float) -> None:
        """Take the store away from all daemons."""
        faults = self._world.store.faults
        faults.mode = self._random.choice(['busy', 'reset', 'silent'])
        await asyncio.sleep(length)
        faults.mode = ''

    async def lose_writes(self, length: float) -> None:
        """Lose answers to writes, which take effect at once or late."""
        faults = self._world.store.faults
        faults.lost_answers = 0.4
        faults.late_seconds = self._random.choice([0, 0.5, 2.0])
        await asyncio.sleep(length)
        faults.lost_answers = 0

    async def forget_history(self, _: float) -> None:
        """Drop the store's history of changes."""
        self._world.store.forget_history()

    async def crash_server(self, length: float) -> None:
        """Crash a server; another one takes its place."""
        server = self._random.choice(self._world.servers)
        await self._world.replace_server(server, length)

    async def slow_server(self, length: float) -> None:
        """Slow a server down."""
        server = self._choose_server()
        server.faults.slowdown = 6
        await asyncio.sleep(length)
        server.faults.slowdown = 1

    async def cut_streams(self, _: float) -> None:
        """Cut the next streams of an engine in their middle."""
        server = self._choose_server()
        server.faults.cut_after = self._random.randint(1, 6)
        server.faults.stream_cuts = 3

    async def lose_answers(self, _: float) -> None:
        """Lose or double the next answers of a server."""
        server = self._choose_server()
        server.faults.lost_answers = 2
        server.faults.duplicated_answers = 2

    async def change_manifest(self, _: float) -> None:
        """Put a newer manifest into force, and name new weights."""
        world = self._world
        world.manifest_version += self._random.randint(1, 3)
        await world.store.write(
            'op', 'config', documents.build_config(world.manifest_version)
        )
        world.callers.named += 1
        await world.name_version(world.callers.named)

    async def evacuate(self, length: float) -> None:
        """Evacuate the data centre of all servers for a while."""
        key = f'evacuate/{documents.DATA_CENTRE}'
        await self._world.store.write('op', key, {})
        await asyncio.sleep(length)
        await self._world.store.remove('op', key)

    async def restart_cold(self, length: float) -> None:
        """Crash a server; a cold one takes its place."""
        server = self._choose_server()
        await self._world.replace_server(server, length, cold=True)

    def _choose_server(self) -> UpstreamStandin:
        return self._random.choice(self._world.servers)
