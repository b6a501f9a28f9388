"""Deployment under test, with each daemon in its own process."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.cloud import CloudStandin
from quetzalcourse.standins.rollout.store import StoreEndpoint, StoreStandin
from quetzalcourse.standins.rollout.upstream import (
    ColdStartState,
    UpstreamStandin,
)
from quetzalcourse.standins.rollout.cluster import Caller
from soak.bursts import (
    SERVER_SLOTS,
    WORK_SECONDS,
    BurstCallers,
    add_accounts,
)
from soak.callers import POISON_BODY, SoakCallers
from soak.daemons import SoakDaemon, build_daemon
from soak.leavers import LeavingClients
from soak.proxy import FaultProxy

if TYPE_CHECKING:
    from pathlib import Path

    from quetzalcourse.standins.rollout.upstream import Run

READY_TIMEOUT_SECONDS = 60.0
ENGINE_COUNT = 3
PLAIN_SERVER_COUNT = 2
OK = 200


class SoakDeployment:
    """Store, servers and daemons, with a fault proxy on each link.

    :param folder: directory for the settings and logs of the daemons.
    :param daemon_count: number of daemons.
    """

    def __init__(self, folder: Path, daemon_count: int, seed: int) -> None:
        """Initialize without starting anything."""
        self.store = StoreStandin(seed)
        self.cloud = CloudStandin()
        self.daemons: list[SoakDaemon] = []
        self.servers: list[UpstreamStandin] = []
        self.removed_servers: list[UpstreamStandin] = []
        self.store_proxies: list[FaultProxy] = []
        self.server_proxies: dict[str, FaultProxy] = {}
        self.manifest_version = 1
        self.poison_enabled = False
        self.bursts_enabled = False
        self.leaving_enabled = False
        self.calm_since: float = 0
        self.counted_slots: dict[str, float] = {}
        self.burst_violations: list[str] = []
        self.crashes_at_rest: Counter[str] = Counter()
        self._folder = folder
        self._daemon_count = daemon_count
        self._seed = seed
        self._store_endpoints: list[StoreEndpoint] = []
        self._server_count = 0

    async def start(self) -> None:
        """Start all parts and wait until each daemon serves requests."""
        await self.cloud.server.start()
        await self.write_config()
        for _ in range(ENGINE_COUNT):
            await self.add_server(documents.ENGINES, (documents.MODEL,))
        for _ in range(PLAIN_SERVER_COUNT):
            await self.add_server(documents.CATALOGUE, ())
        for number in range(self._daemon_count):
            await self._add_daemon(f'vm-{number}')
        addresses = [daemon.address for daemon in self.daemons]
        self.callers = SoakCallers(addresses, self._seed)
        self.burst_callers = BurstCallers(addresses, self._seed)
        self.leaving_clients = LeavingClients(addresses, self._seed)
        await self._await_ready()

    async def stop(self) -> None:
        """Stop all parts that were started."""
        for daemon in self.daemons:
            await daemon.stop()
        for server in self.servers:
            await server.stop()
        for proxy in (*self.store_proxies, *self.server_proxies.values()):
            await proxy.stop()
        for store_endpoint in self._store_endpoints:
            await store_endpoint.server.stop()
        await self.cloud.server.stop()

    async def write_config(self) -> None:
        """Write the manifest in its current version."""
        config = documents.build_config(self.manifest_version)
        if self.bursts_enabled:
            config = add_accounts(config)
        await self.store.write('op', 'config', config)

    async def add_server(
        self,
        service: str,
        models: tuple[str, ...],
        *,
        cold: bool = False,
    ) -> None:
        """Start a server behind its own proxy."""
        self._server_count += 1
        server = UpstreamStandin(
            f'u-{self._server_count}', service, self.store, models=models
        )
        proxy = FaultProxy(server.server.address)
        await proxy.start()
        server.advertised_address = proxy.address
        self.server_proxies[server.name] = proxy
        server.on_crash = proxy.stop
        server.on_restart = proxy.start
        if self.bursts_enabled and service == documents.CATALOGUE:
            server.slots = SERVER_SLOTS
            server.work_seconds = WORK_SECONDS
        if self.poison_enabled:
            server.faults.poison = POISON_BODY
        self.servers.append(server)
        for model in models:
            server.state.versions[model] = self._find_target_version()
        if cold:
            server.cold = ColdStartState(
                documents.COLD_RATE, time.monotonic() + documents.COLD_SECONDS
            )
        await server.start()

    async def replace_server(
        self,
        server: UpstreamStandin,
        seconds: float,
        *,
        cold: bool = False,
    ) -> None:
        """Crash a server and start a replacement.

        :param seconds: delay before the registration of the crashed server is
            removed.
        :param cold: whether the replacement is cold at first.
        """
        if server not in self.servers:
            return
        self.servers.remove(server)
        self.removed_servers.append(server)
        proxy = self.server_proxies.pop(server.name)
        await server.stop()
        await proxy.stop()
        models = tuple(server.state.versions)
        await self.add_server(server.service, models, cold=cold)
        await asyncio.sleep(seconds)
        await self.store.remove('servers', server.name)

    async def set_target_version(self, version: int) -> None:
        """Set the target version of the weights."""
        await self.store.write(
            'op',
            f'version/{documents.MODEL}',
            {'model': documents.MODEL, 'version': version},
        )

    def list_servers(self) -> list[UpstreamStandin]:
        """List all servers, including the crashed ones."""
        return [*self.servers, *self.removed_servers]

    def count_crashes(self) -> Counter[str]:
        """Count the server crashes from poison requests, by path."""
        return Counter(
            run.path for server in self.list_servers() for run in server.crashes
        )

    def list_runs(self) -> list[Run]:
        """List all requests that servers started to process."""
        return [run for server in self.list_servers() for run in server.runs]

    def _find_target_version(self) -> int:
        callers = getattr(self, 'callers', None)
        return callers.target_version if callers is not None else 1

    async def _add_daemon(self, name: str) -> None:
        store_endpoint = StoreEndpoint(self.store)
        await store_endpoint.server.start()
        self._store_endpoints.append(store_endpoint)
        proxy = FaultProxy(store_endpoint.server.address)
        await proxy.start()
        self.store_proxies.append(proxy)
        daemon = build_daemon(
            self._folder,
            name,
            proxy.address,
            self.cloud.server.address,
            load_control=self.bursts_enabled,
        )
        self.daemons.append(daemon)
        await daemon.start()

    async def _await_ready(self) -> None:
        caller = Caller()
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for daemon in self.daemons:
                while not await _is_ready(caller, daemon.address):
                    await asyncio.sleep(0.1)


async def _is_ready(caller: Caller, address: str) -> bool:
    try:
        reply = await caller.call(
            address,
            'POST',
            documents.LOOKUP_PREFIX,
            b'probe',
            request_id='probe',
            seconds=2,
        )
    except (OSError, TimeoutError):
        return False
    return reply.status == OK
