"""Daemon and stand-ins in one process, for the demo and for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from quetzalcourse.application import Application
from quetzalcourse.coordination.manifest.keys import hash_secret
from quetzalcourse.coordination.manifest.manifest_store import ManifestStore
from quetzalcourse.settings.process import ProcessSettings
from quetzalcourse.standins.engine import EngineStandin
from quetzalcourse.standins.platform import PlatformStandin
from quetzalcourse.standins.service import ServiceStandin
from quetzalcourse.state.manifest import (
    ClientAccount,
    KeyHash,
    Manifest,
    Service,
    Trainer,
    Upstream,
    UpstreamKind,
)

if TYPE_CHECKING:
    from typing import Any


MODEL = 'verse'
DATA_CENTRE = 'lac-hall'
READER_KEY = 'reader.reader-secret'
TRAINER_KEY = 'trainer.trainer-secret'
TRAINER = 'meter-drill'
SERVICE = 'catalogue'
HIGH_RATE = 10000.0
SLOTS = 16


class Standin(Protocol):
    """Server that stands in for an external system."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Stop serving."""


def build_settings(platform: str, **changes: Any) -> ProcessSettings:
    """Build settings for a daemon on loopback.

    :param platform: address of the platform stand-in.
    :param changes: sections that replace the defaults.
    """
    document: dict[str, Any] = {
        'vm': 'vm-1',
        'data_centre': DATA_CENTRE,
        'listen': {'callers': '127.0.0.1:0', 'peers': '127.0.0.1:0'},
        'platform': {'address': platform, 'refresh_seconds': 0.1},
        'drain': {'balancer_seconds': 0.0, 'deadline_seconds': 30.0},
    }
    return ProcessSettings.model_validate(document | changes)


def build_manifest(
    engines: list[EngineStandin],
    services: list[ServiceStandin],
) -> Manifest:
    """Build a manifest for running stand-ins.

    :param engines: engines that serve :data:`MODEL`.
    :param services: upstreams of :data:`SERVICE`.
    """
    upstreams = {
        engine.name: Upstream(
            name=engine.name,
            kind=UpstreamKind.engine,
            data_centre=DATA_CENTRE,
            address=engine.address,
            slots=SLOTS,
            models=tuple(engine.models),
            human_headroom=SLOTS // 4,
        )
        for engine in engines
    }
    names = []
    for index, service in enumerate(services):
        name = f'{SERVICE}-{index}'
        names.append(name)
        upstreams[name] = Upstream(
            name=name,
            kind=UpstreamKind.service,
            data_centre=DATA_CENTRE,
            address=service.address,
            slots=SLOTS,
        )
    return Manifest(
        client_accounts={
            name: ClientAccount(name, 1.0, HIGH_RATE, 1000, 2000)
            for name in ('readers', 'trainers')
        },
        keys={
            'reader': KeyHash('reader', 'readers', hash_key(READER_KEY)),
            'trainer': KeyHash('trainer', 'trainers', hash_key(TRAINER_KEY)),
        },
        trainers={TRAINER: Trainer(TRAINER, 'trainers', MODEL, 1)},
        upstreams=upstreams,
        services={
            SERVICE: Service(SERVICE, tuple(names), frozenset(('GET', 'HEAD'))),
        },
    )


def hash_key(key: str) -> str:
    """Hash the secret part of a full key."""
    return hash_secret(key.partition('.')[2])


class Deployment:
    """Platform, engines, a plain service and one daemon.

    :param engine_count: number of engines.
    :param callers: address that the daemon listens on for callers.
    :param token_seconds: time that an engine takes for a token.
    :param changes: sections that replace defaults of the daemon's settings.
    """

    def __init__(
        self,
        engine_count: int = 2,
        callers: str = '127.0.0.1:0',
        token_seconds: float = 0.0005,
        **changes: Any,
    ) -> None:
        """Open the listening sockets."""
        self.platform = PlatformStandin()
        self.engines = [
            EngineStandin(
                f'engine-{index}',
                (MODEL,),
                slots=SLOTS,
                token_seconds=token_seconds,
            )
            for index in range(engine_count)
        ]
        self.services = [ServiceStandin(f'catalogue-{id(self)}')]
        settings = build_settings(
            self.platform.address,
            listen={'callers': callers, 'peers': '127.0.0.1:0'},
            **changes,
        )
        self.daemon = Application(settings)

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f'http://{self.daemon.address}'

    async def on_start(self) -> None:
        """Start the stand-ins, apply a manifest and start the daemon."""
        for standin in self._list_standins():
            await standin.start()
        await self.daemon.on_start()
        store = ManifestStore(self.daemon.platform, self.daemon.platform)
        manifest = build_manifest(self.engines, self.services)
        (await store.accept(manifest, 0)).unwrap()
        (await self.daemon.manifest.refresh()).unwrap()

    async def on_stop(self) -> None:
        """Stop the daemon and the stand-ins."""
        await self.daemon.on_drain()
        await self.daemon.on_stop()
        for standin in self._list_standins():
            await standin.stop()

    def _list_standins(self) -> list[Standin]:
        return [self.platform, *self.engines, *self.services]
