"""Faults of the soak: a seeded series that overlaps."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.upstream import UpstreamStandin
from soak.proxy import LinkFault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from soak.deployment import SoakDeployment

MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 3.0
MEAN_FAULT_INTERVAL_SECONDS = 0.8
# How far a calendar jumps, in seconds; windows of usage last two.
CLOCK_JUMPS_SECONDS = (-30, -5, -1.5, 1.5, 5, 30)


class FaultSeries:
    """Injects faults at random moments, also several at a time.

    :param deployment: what is harmed.
    :param data_centre_faults: whether data centres are evacuated and servers
        come back cold, besides all else.
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        seed: int,
        *,
        data_centre_faults: bool = False,
    ) -> None:
        """Begin with nothing harmed."""
        self.log: list[str] = []
        self._deployment = deployment
        self._random = random.Random(seed)
        self._running: set[asyncio.Task[None]] = set()
        self._injectors: list[Callable[[float], Awaitable[None]]] = [
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
        if data_centre_faults:
            self._injectors += [self.evacuate, self.restart_cold]

    async def run(self, stop: asyncio.Event) -> None:
        """Inject faults until told to stop, then let them end."""
        while not stop.is_set():
            injector = self._random.choice(self._injectors)
            seconds = self._random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
            self.log.append(f'{injector.__name__} {seconds:.1f}')
            task = asyncio.ensure_future(self._inject(injector, seconds))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(
                self._random.expovariate(1 / MEAN_FAULT_INTERVAL_SECONDS)
            )
        await asyncio.gather(*self._running)

    async def _inject(
        self,
        injector: Callable[[float], Awaitable[None]],
        seconds: float,
    ) -> None:
        await injector(seconds)

    async def kill(self, _: float) -> None:
        """Kill a daemon; it starts again."""
        self._random.choice(self._deployment.daemons).kill()

    async def terminate(self, _: float) -> None:
        """Stop a daemon gracefully; it starts again."""
        self._random.choice(self._deployment.daemons).terminate()

    async def freeze(self, seconds: float) -> None:
        """Pause a daemon."""
        daemon = self._random.choice(self._deployment.daemons)
        daemon.pause()
        await asyncio.sleep(seconds)
        daemon.resume()

    async def move_calendar(self, seconds: float) -> None:
        """Let the calendar of one daemon jump, and jump back.

        One at a time: daemons go by what most calendars say.
        """
        daemon = self._random.choice(self._deployment.daemons)
        jump = self._random.choice(CLOCK_JUMPS_SECONDS)
        if any(other.clock_offset for other in self._deployment.daemons):
            return
        daemon.shift_clock(jump)
        await asyncio.sleep(seconds)
        daemon.shift_clock(0)

    async def harm_store_link(self, seconds: float) -> None:
        """Harm the way of a daemon to the store."""
        proxy = self._random.choice(self._deployment.store_proxies)
        proxy.fault = self._random.choice(list(LinkFault))
        await asyncio.sleep(seconds)
        proxy.fault = LinkFault.none

    async def harm_server_link(self, seconds: float) -> None:
        """Harm the way of all daemons to a server."""
        proxy = self._random.choice(
            list(self._deployment.server_proxies.values())
        )
        proxy.fault = self._random.choice(list(LinkFault))
        await asyncio.sleep(seconds)
        proxy.fault = LinkFault.none

    async def break_store(self, seconds: float) -> None:
        """Take the store away from all daemons."""
        faults = self._deployment.store.faults
        faults.mode = self._random.choice(['busy', 'reset', 'silent'])
        await asyncio.sleep(seconds)
        faults.mode = ''

    async def lose_writes(self, seconds: float) -> None:
        """Lose answers to writes, which take effect at once or late."""
        faults = self._deployment.store.faults
        faults.lost_answers = 0.4
        faults.late_seconds = self._random.choice([0, 0.5, 2.0])
        await asyncio.sleep(seconds)
        faults.lost_answers = 0

    async def forget_history(self, _: float) -> None:
        """Drop the store's history of changes."""
        self._deployment.store.forget_history()

    async def crash_server(self, seconds: float) -> None:
        """Crash a server; another one takes its place."""
        server = self._random.choice(self._deployment.servers)
        await self._deployment.replace_server(server, seconds)

    async def slow_server(self, seconds: float) -> None:
        """Slow a server down."""
        server = self._choose_server()
        server.faults.slowdown = 6
        await asyncio.sleep(seconds)
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
        deployment = self._deployment
        deployment.manifest_version += self._random.randint(1, 3)
        await deployment.store.write(
            'op', 'config', documents.build_config(deployment.manifest_version)
        )
        deployment.callers.target_version += 1
        await deployment.set_target_version(deployment.callers.target_version)

    async def evacuate(self, seconds: float) -> None:
        """Evacuate the data centre of all servers for a while."""
        key = f'evacuate/{documents.DATA_CENTRE}'
        await self._deployment.store.write('op', key, {})
        await asyncio.sleep(seconds)
        await self._deployment.store.remove('op', key)

    async def restart_cold(self, seconds: float) -> None:
        """Crash a server; a cold one takes its place."""
        server = self._choose_server()
        await self._deployment.replace_server(server, seconds, cold=True)

    def _choose_server(self) -> UpstreamStandin:
        return self._random.choice(self._deployment.servers)
