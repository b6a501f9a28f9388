"""The application object: owns every part of a daemon and cleans up."""

from __future__ import annotations

import asyncio
import os
import random
from datetime import timedelta
from typing import TYPE_CHECKING

import aiohttp
from result import Err, Ok

from quetzalcourse.coordination.burn_ledger import BurnLedger
from quetzalcourse.coordination.human_service import HumanService
from quetzalcourse.coordination.keys import KeyRing
from quetzalcourse.coordination.manifest import ManifestKeeper
from quetzalcourse.coordination.membership import (
    Membership,
    MembershipPlan,
)
from quetzalcourse.coordination.service_levels import ServiceLevels
from quetzalcourse.coordination.step_assembly import build_steps
from quetzalcourse.log import get_log
from quetzalcourse.slot_parts import SlotParts
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member
from quetzalcourse.transport.callers import (
    Activity,
    CallerParts,
    RequestIds,
    prepare_app,
)
from quetzalcourse.transport.clock import SystemClock
from quetzalcourse.transport.connections import (
    build_connector,
    send_once,
)
from quetzalcourse.transport.generation_routes import GenerationRoutes
from quetzalcourse.transport.health_routes import HealthRoutes
from quetzalcourse.transport.peer_link import PeerLink
from quetzalcourse.transport.platform_client import PlatformClient
from quetzalcourse.transport.service_routes import ServiceRoutes
from quetzalcourse.transport.sockets import open_listener, read_address
from quetzalcourse.transport.step_routes import StepRoutes
from quetzalcourse.transport.web import WebServer, build_app
from quetzalcourse.upstreams import build_upstreams

if TYPE_CHECKING:
    from quetzalcourse.settings.process import ProcessSettings
    from quetzalcourse.state.manifest import Manifest

LINK_CLEANING = timedelta(seconds=10)
SEEDS_WAIT = timedelta(seconds=10)
SECRET_BYTES = 32
DRAIN_POLL = timedelta(milliseconds=50)
INCARNATION_BYTES = 4
log = get_log('application')


def name_incarnation(vm: str) -> str:
    """Name one run of a daemon, different from every run before."""
    return f'{vm}-{os.urandom(INCARNATION_BYTES).hex()}'


class Application:
    """One daemon, from its start to its graceful shutdown.

    :param settings: checked settings of the process.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Open the listening socket, so that the address is known."""
        self.settings = settings
        self.clock = SystemClock()
        self.counters = Counters()
        self.activity = Activity()
        self.incarnation = name_incarnation(settings.vm)
        self._listener = open_listener(settings.listen.callers)
        self.address = read_address(self._listener)
        self._tasks: list[asyncio.Task[None]] = []
        self._build_peers()

    async def on_start(self) -> None:
        """Build the parts, adopt a manifest and begin to serve."""
        self._session = aiohttp.ClientSession(
            connector=build_connector(),
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
            middlewares=(send_once,),
        )
        self.peers.start(self.members.own)
        self._build_parts()
        self._server = self._build_server()
        await self._refresh_once()
        await self._server.start()
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._follow_manifest()))
        self._tasks.append(loop.create_task(self.burn_ledger.run()))
        self._tasks.append(loop.create_task(self.members.run()))
        self._tasks.append(loop.create_task(self._follow_seeds()))
        self._tasks.append(loop.create_task(self._clean_links()))
        self._tasks.append(loop.create_task(self.upstreams.observer.run()))
        self._tasks.append(loop.create_task(self.steps.follow_open_steps()))
        log.info('Daemon started.', address=self.address)

    async def on_drain(self) -> None:
        """Refuse new work gently and finish what is being served."""
        self.activity.ready = False
        self.members.announce_leaving()
        log.info('Drain began.', serving=self.activity.serving)
        drain = self.settings.drain
        await self.clock.sleep(timedelta(seconds=drain.balancer_seconds))
        await self.steps.stop()
        deadline = self.clock.elapsed() + timedelta(
            seconds=drain.deadline_seconds
        )
        while self.activity.serving and self.clock.elapsed() < deadline:
            await self.clock.sleep(DRAIN_POLL)
        log.info('Drain ended.', cut=self.activity.serving)

    async def on_stop(self) -> None:
        """Close everything that the daemon opened."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.burn_ledger.flush()
        await self.steps.stop()
        await self.generation.stop()
        await self.slots.on_stop()
        await self._server.stop()
        await self._session.close()
        self.members.announce_gone()
        self.peers.stop()
        log.info('Daemon stopped.')

    def _build_peers(self) -> None:
        peering = self.settings.peering
        secrets = [secret.encode() for secret in peering.secrets]
        self.peers = PeerLink(
            self.settings.listen.peers,
            secrets or [os.urandom(SECRET_BYTES)],
            self.clock,
            self.counters,
        )
        own = Member(
            self.settings.vm,
            self.incarnation,
            self.settings.data_centre,
            self.peers.address,
        )
        self.members = Membership(
            own,
            self.peers,
            self.clock,
            random.Random(),
            self.counters,
            MembershipPlan(
                tick=timedelta(seconds=peering.tick_seconds),
                suspicion=timedelta(seconds=peering.suspicion_seconds),
            ),
        )
        self.members.on_own(self.peers.replace_own)
        self.members.seed(peering.seeds)

    def _build_parts(self) -> None:
        platform = self.settings.platform
        self.platform = PlatformClient(
            self._session, platform.address, platform.timeout_seconds
        )
        self.keys = KeyRing()
        self.manifest = ManifestKeeper(self.platform, self.platform)
        self.slots = SlotParts(
            self.members,
            self.peers,
            self._session,
            self.clock,
            self.counters,
        )
        self.admission = self.slots.admission
        self.slots.on_start()
        self.upstreams = build_upstreams(
            self.settings.data_centre,
            self.incarnation,
            self._session,
            self.platform,
            self.admission,
            self.clock,
            self.counters,
        )
        self.generation = self.upstreams.generation
        self.service_levels = ServiceLevels(self.clock, self.counters)
        self.steps = build_steps(
            self.platform,
            self.generation,
            self.clock,
            self.counters,
            self.service_levels,
            self.members,
        )
        self.burn_ledger = BurnLedger(
            self.platform, self.clock, self.counters, self.incarnation
        )
        self.manifest.on_manifest(self.on_manifest)

    def on_manifest(self, manifest: Manifest) -> None:
        """Hand a manifest that came into force to every part."""
        self.keys.replace_grants(manifest.keys.values())
        self.slots.on_manifest(manifest)
        self.upstreams.on_manifest(manifest)
        self.service_levels.on_manifest(manifest)
        self.activity.ready = True
        log.info('Manifest in force.', version=manifest.version)

    def _build_server(self) -> WebServer:
        name = f'callers-{self.incarnation}'
        app = build_app(name, self.settings.limits.body_bytes)
        parts = CallerParts(
            settings=self.settings,
            clock=self.clock,
            counters=self.counters,
            activity=self.activity,
            keys=self.keys,
            manifest=self.manifest,
            router=self.upstreams.router,
            generation=self.generation,
            services=self.upstreams.services,
            steps=self.steps,
            service_levels=self.service_levels,
            human_service=HumanService(self.service_levels, self.clock),
            claims=self.upstreams.claims,
        )
        prepare_app(app, parts, RequestIds(self.incarnation))
        GenerationRoutes(app, parts)
        ServiceRoutes(app, parts, self._session)
        StepRoutes(app, parts)
        HealthRoutes(app, parts)
        return WebServer(app, self._listener)

    async def _refresh_once(self) -> None:
        answer = await self.manifest.refresh()
        if isinstance(answer, Err):
            fault = answer.err_value
            log.warning('Manifest not read.', step=fault.step, peer=fault.peer)

    async def _follow_manifest(self) -> None:
        wait = timedelta(seconds=self.settings.platform.refresh_seconds)
        while True:
            await self.clock.sleep(wait)
            await self._refresh_once()

    async def _follow_seeds(self) -> None:
        while True:
            answer = await self.platform.list_vms()
            if isinstance(answer, Ok):
                vms = answer.ok_value
                seeds = list(self.settings.peering.seeds)
                self.members.seed(seeds + [vm.address for vm in vms])
                self.members.note_leaving(
                    vm.address for vm in vms if vm.leaving
                )
                self.upstreams.leaving.on_vms(vms)
            near = self.members.list_live(self.settings.data_centre)
            await self.clock.sleep(SEEDS_WAIT * len(near))

    async def _clean_links(self) -> None:
        while True:
            await self.clock.sleep(LINK_CLEANING)
            self.peers.close_unused()
