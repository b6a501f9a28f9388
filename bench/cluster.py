"""Daemon processes on loopback with stand-ins in the bench's own process."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp

from quetzalcourse.coordination.manifest.manifest_store import ManifestStore
from quetzalcourse.standins.deployment import (
    MODEL,
    Standin,
    build_manifest,
)
from quetzalcourse.standins.engine import EngineStandin
from quetzalcourse.standins.platform import PlatformStandin, TableStandin
from quetzalcourse.standins.processes import DaemonProcess
from quetzalcourse.standins.service import ServiceStandin
from quetzalcourse.transport.platform_client import PlatformClient

if TYPE_CHECKING:
    from quetzalcourse.protocol.platform import RowMessage
    from quetzalcourse.state.manifest import Manifest

CENTRES = ('lac-hall', 'medina-hall', 'ariana-hall')
SECRET = 'a shared secret of the bench'
STARTS_AT_ONCE = 8
SLOTS = 512
WAIT_SECONDS = 60.0
POLL_SECONDS = 0.05


class CountingTable(TableStandin):
    """Table that counts the reads which follow manifest and keys."""

    def __init__(self) -> None:
        """Begin at none."""
        super().__init__()
        self.follow_reads = 0

    def scan(self, prefix: str, after: str, limit: int) -> list[RowMessage]:
        """Read rows, and count those that daemons follow."""
        self.follow_reads += prefix in {'heads/', 'keys/log/'}
        return super().scan(prefix, after, limit)


class Cluster:
    """Daemons in three data centres.

    The first data centre has a way of its own to the platform, which can be
    cut without cutting that of the others.

    :param count: how many daemons.
    """

    def __init__(self, count: int, token_seconds: float = 0.5) -> None:
        """Open the stand-ins."""
        self.table = CountingTable()
        self.platforms = [PlatformStandin(), PlatformStandin()]
        for platform in self.platforms:
            platform.table = self.table
            platform.objects = self.platforms[0].objects
            platform.vms = self.platforms[0].vms
        self.engine = EngineStandin(
            'engine', (MODEL,), slots=SLOTS, token_seconds=token_seconds
        )
        self.service = ServiceStandin('catalogue')
        self._standins: list[Standin] = [
            *self.platforms,
            self.engine,
            self.service,
        ]
        self.daemons: list[DaemonProcess] = []
        self.version = 0
        self.forced: dict[int, list[float]] = {}
        self.lost = 0
        self._count = count
        self._folder = tempfile.TemporaryDirectory()

    async def on_start(self) -> None:
        """Start the stand-ins and the daemons, a few at once."""
        for standin in self._standins:
            await standin.start()
        self.session = aiohttp.ClientSession()
        self.client = PlatformClient(
            self.session, self.platforms[1].address, 5.0
        )
        gate = asyncio.Semaphore(STARTS_AT_ONCE)

        async def start(number: int) -> None:
            async with gate:
                await self.start_daemon(number)

        await start(0)
        others = range(1, self._count)
        await asyncio.gather(*(start(number) for number in others))
        await self.wait_agreed()

    async def on_stop(self) -> None:
        """End every process by its id, and the stand-ins."""
        await asyncio.gather(*(daemon.on_stop() for daemon in self.daemons))
        await self.session.close()
        for standin in self._standins:
            await standin.stop()
        self._folder.cleanup()

    async def start_daemon(self, number: int) -> DaemonProcess:
        """Start one daemon."""
        centre = number % len(CENTRES)
        platform = self.platforms[0 if centre == 0 else 1]
        peering: dict[str, Any] = {'secrets': [SECRET]}
        if self.daemons:
            peering['seeds'] = [self.daemons[0].peers]
        daemon = DaemonProcess(
            Path(self._folder.name),
            {
                'vm': f'vm-{number}-{time.monotonic_ns()}',
                'data_centre': CENTRES[centre],
                'listen': {'callers': '127.0.0.1:0', 'peers': '127.0.0.1:0'},
                'platform': {'address': platform.address},
                'peering': peering,
                'drain': {'balancer_seconds': 0.5, 'deadline_seconds': 30.0},
            },
        )
        daemon.line_listeners.append(self._on_line)
        await daemon.on_start()
        self.daemons.append(daemon)
        return daemon

    async def accept(self, manifest: Manifest) -> int:
        """Have the next version accepted."""
        keeper = ManifestStore(self.client, self.client)
        answer = await keeper.accept(manifest, self.version)
        self.version = answer.unwrap()
        return self.version

    def make_manifest(self) -> Manifest:
        """Make a manifest that names the stand-ins, with room for all."""
        manifest = build_manifest([self.engine], [self.service])
        upstreams = {
            name: replace(upstream, slots=SLOTS)
            for name, upstream in manifest.upstreams.items()
        }
        return replace(manifest, upstreams=upstreams)

    async def wait_forced(self, version: int) -> list[float]:
        """Wait until every daemon has a version in force.

        :returns: when each daemon had it, by this process's clock.
        """
        deadline = time.monotonic() + WAIT_SECONDS
        while len(self.forced.get(version, ())) < len(self.daemons):
            if time.monotonic() > deadline:
                raise TimeoutError(f'version {version} is not everywhere')
            await asyncio.sleep(POLL_SECONDS)
        return self.forced[version]

    async def wait_agreed(self) -> None:
        """Wait until every daemon counts every daemon as live."""
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            states = await asyncio.gather(
                *(self.read_status(daemon) for daemon in self.daemons)
            )
            counts = {state['peering']['live'] for state in states}
            if counts == {len(self.daemons)}:
                return
            await asyncio.sleep(POLL_SECONDS * 10)
        raise TimeoutError('the daemons do not agree on their list')

    async def read_status(self, daemon: DaemonProcess) -> dict[str, Any]:
        """Read what a daemon says of itself."""
        url = f'http://{daemon.address}/status'
        async with self.session.get(url) as answer:
            return await answer.json()

    async def read_metrics(self, daemon: DaemonProcess) -> dict[str, float]:
        """Read the sums of a daemon's metrics over their labels."""
        url = f'http://{daemon.address}/metrics'
        sums: dict[str, float] = {}
        async with self.session.get(url) as answer:
            text = await answer.text()
        for line in text.splitlines():
            if line and not line.startswith('#'):
                series, _, amount = line.rpartition(' ')
                name = series.partition('{')[0]
                sums[name] = sums.get(name, 0) + float(amount)
                sums[series] = float(amount)
        return sums

    def pause(self, daemon: DaemonProcess) -> None:
        """Stop a process as the machine does when it freezes."""
        daemon.send_signal(signal.SIGSTOP)

    def resume(self, daemon: DaemonProcess) -> None:
        """Let a stopped process go on."""
        daemon.send_signal(signal.SIGCONT)

    def _on_line(self, line: str) -> None:
        if 'Manifest in force.' in line:
            version = json.loads(line)['version']
            self.forced.setdefault(version, []).append(time.monotonic())
        elif 'Members changed.' in line:
            self.lost += json.loads(line)['lost']
