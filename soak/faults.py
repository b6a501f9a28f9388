"""Inject a seeded series of overlapping faults."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING

from quetzalcourse.standins.raw_server import RawServer
from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.upstream import UpstreamStandin
from soak.foreign import BROKEN_RESPONSES, ODD_CONTENTS, ODD_PLACES
from soak.proxy import LinkFault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from soak.deployment import SoakDeployment

MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 3.0
MEAN_FAULT_INTERVAL_SECONDS = 0.8
# Jumps shorter and longer than the usage window of two seconds.
CLOCK_JUMPS_SECONDS = (-30, -5, -1.5, 1.5, 5, 30)


class FaultSeries:
    """Injects faults at random times, several of which may overlap.

    The names of the fault methods are written to ``faults.log``.

    :param deployment: target of the faults.
    :param data_centre_faults: whether to also evacuate data centres and replace
        servers by cold ones.
    :param foreign_faults: whether to also write rows that no reader can use and
        to add servers whose responses are broken.
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        seed: int,
        *,
        data_centre_faults: bool = False,
        foreign_faults: bool = False,
    ) -> None:
        """Initialize without active faults."""
        self.log: list[str] = []
        self._deployment = deployment
        self._random = random.Random(seed)
        self._running: set[asyncio.Task[None]] = set()
        self._odd_numbers = itertools.count()
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
        if foreign_faults:
            self._injectors += [self.write_odd_rows, self.add_broken_server]

    async def run(self, stop: asyncio.Event) -> None:
        """Inject faults until ``stop`` is set, then wait for their ends."""
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
        """Kill a daemon, which is then restarted."""
        self._random.choice(self._deployment.daemons).kill()

    async def terminate(self, _: float) -> None:
        """Stop a daemon gracefully; it is then restarted."""
        self._random.choice(self._deployment.daemons).terminate()

    async def freeze(self, seconds: float) -> None:
        """Pause a daemon for some seconds."""
        daemon = self._random.choice(self._deployment.daemons)
        daemon.pause()
        await asyncio.sleep(seconds)
        daemon.resume()

    async def move_calendar(self, seconds: float) -> None:
        """Shift the wall clock of one daemon for some seconds.

        Only one at a time, because daemons rely on the majority of clocks.
        """
        daemon = self._random.choice(self._deployment.daemons)
        jump = self._random.choice(CLOCK_JUMPS_SECONDS)
        if any(other.clock_offset for other in self._deployment.daemons):
            return
        daemon.shift_clock(jump)
        await asyncio.sleep(seconds)
        daemon.shift_clock(0)

    async def harm_store_link(self, seconds: float) -> None:
        """Inject a fault into the link from a daemon to the store."""
        proxy = self._random.choice(self._deployment.store_proxies)
        proxy.fault = self._random.choice(list(LinkFault))
        await asyncio.sleep(seconds)
        proxy.fault = LinkFault.none

    async def harm_server_link(self, seconds: float) -> None:
        """Inject a fault into the link from all daemons to a server."""
        proxy = self._random.choice(
            list(self._deployment.server_proxies.values())
        )
        proxy.fault = self._random.choice(list(LinkFault))
        await asyncio.sleep(seconds)
        proxy.fault = LinkFault.none

    async def break_store(self, seconds: float) -> None:
        """Make the store unavailable to all daemons."""
        faults = self._deployment.store.faults
        faults.mode = self._random.choice(['busy', 'reset', 'silent'])
        await asyncio.sleep(seconds)
        faults.mode = ''

    async def lose_writes(self, seconds: float) -> None:
        """Drop responses to writes, which take effect at once or delayed."""
        faults = self._deployment.store.faults
        faults.lost_answers = 0.4
        faults.late_seconds = self._random.choice([0, 0.5, 2.0])
        await asyncio.sleep(seconds)
        faults.lost_answers = 0

    async def forget_history(self, _: float) -> None:
        """Drop the store's change history."""
        self._deployment.store.forget_history()

    async def crash_server(self, seconds: float) -> None:
        """Crash a server and replace it by another one."""
        server = self._random.choice(self._deployment.servers)
        await self._deployment.replace_server(server, seconds)

    async def slow_server(self, seconds: float) -> None:
        """Slow down the responses of a server."""
        server = self._choose_server()
        server.faults.slowdown = 6
        await asyncio.sleep(seconds)
        server.faults.slowdown = 1

    async def cut_streams(self, _: float) -> None:
        """Cut the next streams of a server before their end."""
        server = self._choose_server()
        server.faults.cut_after = self._random.randint(1, 6)
        server.faults.stream_cuts = 3

    async def lose_answers(self, _: float) -> None:
        """Drop or duplicate the next responses of a server."""
        server = self._choose_server()
        server.faults.lost_answers = 2
        server.faults.duplicated_answers = 2

    async def change_manifest(self, _: float) -> None:
        """Write a newer manifest and set a newer target weight version."""
        deployment = self._deployment
        deployment.manifest_version += self._random.randint(1, 3)
        await deployment.write_config()
        deployment.callers.target_version += 1
        await deployment.set_target_version(deployment.callers.target_version)

    async def evacuate(self, seconds: float) -> None:
        """Evacuate the data centre of all servers for some seconds."""
        key = f'evacuate/{documents.DATA_CENTRE}'
        await self._deployment.store.write('op', key, {})
        await asyncio.sleep(seconds)
        await self._deployment.store.remove('op', key)

    async def restart_cold(self, seconds: float) -> None:
        """Crash a server and replace it by a cold one."""
        server = self._choose_server()
        await self._deployment.replace_server(server, seconds, cold=True)

    async def write_odd_rows(self, seconds: float) -> None:
        """Write a row that no reader can use to each table for some seconds."""
        name = f'odd-{next(self._odd_numbers)}'
        content = self._random.choice(ODD_CONTENTS)
        store = self._deployment.store
        for table, part in ODD_PLACES:
            await store.write(table, name, content, part)
        await asyncio.sleep(seconds)
        for table, part in ODD_PLACES:
            await store.remove(table, name, part)

    async def add_broken_server(self, seconds: float) -> None:
        """Add a server whose responses are broken for some seconds."""
        name = f'broken-{next(self._odd_numbers)}'
        server = RawServer(self._random.choice(BROKEN_RESPONSES))
        await server.start()
        entry = {
            'service': self._random.choice(
                (documents.ENGINES, documents.CATALOGUE)
            ),
            'address': server.address,
            'zone': documents.DATA_CENTRE,
            'slots': 8,
            'state': 'ready',
            'models': [{'name': documents.MODEL, 'version': 1}],
        }
        await self._deployment.store.write('servers', name, entry)
        await asyncio.sleep(seconds)
        await self._deployment.store.remove('servers', name)
        await server.stop()

    def _choose_server(self) -> UpstreamStandin:
        return self._random.choice(self._deployment.servers)
