"""Cluster of daemons with its platform and servers, in one process."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from quetzalcourse.platform.deployment import PlatformDeployment
from quetzalcourse.platform.settings import SettingsMessage
from quetzalcourse.rollout_application import RolloutApplication
from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.cloud import CloudStandin
from quetzalcourse.standins.rollout.store import StoreEndpoint, StoreStandin
from quetzalcourse.standins.rollout.upstream import UpstreamStandin
from quetzalcourse.transport.connections import open_session
from quetzalcourse.transport.response_protocol import StrictConnector

if TYPE_CHECKING:
    from collections.abc import Mapping

READY_SECONDS = 10.0
POLL_SECONDS = 0.05
OK = 200


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer of a daemon to a caller."""

    status: int
    body: bytes
    headers: Mapping[str, str]

    def read(self) -> Any:
        """Decode the JSON body."""
        return json.loads(self.body)


def build_scoring_call(name: str) -> dict[str, Any]:
    """Build the scoring call of an item."""
    return {
        'id': f'score-of-{name}',
        'hostname': documents.HOST,
        'path': f'{documents.SCORING_PREFIX}{name}',
        'body': base64.b64encode(f'text of {name}'.encode()).decode(),
    }


def build_item(
    name: str,
    group: str = 'g1',
    *,
    scored: bool = False,
) -> dict[str, Any]:
    """Build an item of a batch.

    :param scored: whether its text is to be scored.
    """
    scorer = {'scorer': build_scoring_call(name)} if scored else {}
    return scorer | {
        'id': name,
        'path': f'{documents.BATCH_PREFIX}1/{name}',
        'headers': {'X-Model': documents.MODEL, 'X-Token-Counts': '8,8'},
        'body': base64.b64encode(f'body of {name}'.encode()).decode(),
        'tokens': 16,
        'group': group,
    }


def build_batch(
    names: list[str],
    *,
    scored: bool = False,
    **changes: Any,
) -> dict[str, Any]:
    """Build a batch of items."""
    batch: dict[str, Any] = {
        'step': 0,
        'model': documents.MODEL,
        'min_version': 1,
        'desired_count': 1,
        'requests': [build_item(name, scored=scored) for name in names],
    }
    return batch | changes


class Caller:
    """Calls daemons as the platform's clients do, on new connections."""

    def __init__(self, key: str = documents.KEY) -> None:
        """Store the API key that every call sends."""
        self.key = key

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        headers: Mapping[str, str] | None = None,
        request_id: str = 'r-1',
        seconds: float = 10.0,
    ) -> Reply:
        """Send one request.

        :raises aiohttp.ClientError: if the connection breaks.
        """
        sent = {
            'Host': documents.HOST,
            'X-Request-Id': request_id,
            'X-Key': self.key,
        }
        timeout = aiohttp.ClientTimeout(total=seconds)
        async with (
            open_session(
                StrictConnector(force_close=True),
                skip_auto_headers=('Accept-Encoding', 'User-Agent'),
            ) as session,
            session.request(
                method,
                f'http://{address}{path}',
                data=body or None,
                headers=sent | dict(headers or {}),
                timeout=timeout,
            ) as answer,
        ):
            content = await answer.read()
            return Reply(answer.status, content, answer.headers)

    async def submit(
        self,
        address: str,
        batch_id: str,
        batch: dict[str, Any],
    ) -> Reply:
        """Submit a batch."""
        return await self.call(
            address,
            'POST',
            f'{documents.BATCH_PREFIX}{batch_id}',
            json.dumps(batch).encode(),
            request_id=batch_id,
        )

    async def end(self, address: str, batch_id: str) -> Reply:
        """End a batch."""
        return await self.call(
            address, 'DELETE', f'/quetzalcourse/lots/{batch_id}'
        )

    async def read(
        self,
        address: str,
        batch_id: str,
        after: int = 0,
        wait_ms: int = 500,
    ) -> Reply:
        """Read results of a batch."""
        return await self.call(
            address,
            'GET',
            f'/quetzalcourse/lots/{batch_id}?after={after}',
            headers={'X-Wait-Ms': str(wait_ms)},
        )

    async def read_all(
        self,
        address: str,
        batch_id: str,
        seconds: float = 20.0,
    ) -> list[dict[str, Any]]:
        """Read results until the batch is complete."""
        results: list[dict[str, Any]] = []
        async with asyncio.timeout(seconds):
            while True:
                reply = await self.read(address, batch_id, len(results))
                if reply.status == OK:
                    page = reply.read()
                    results += page['results']
                    if len(results) == page['total']:
                        return results
                else:
                    await asyncio.sleep(POLL_SECONDS)


class RolloutCluster:
    """Store, servers and daemons, all on loopback.

    :param daemons: how many daemons.
    :param together: whether the daemons share a data centre; otherwise each
        has one of its own.

    ``regions`` maps data centres to regions, for daemons that start after it
    is set, ``grace_seconds`` is how long their stop may take.
    """

    def __init__(
        self,
        daemons: int = 1,
        engines: int = 2,
        *,
        together: bool = False,
    ) -> None:
        """Open the sockets of the stand-ins."""
        self.store = StoreStandin()
        self.cloud = CloudStandin()
        self.caller = Caller()
        self.engines = [
            UpstreamStandin(
                f'e-{number}',
                documents.ENGINES,
                self.store,
                models=(documents.MODEL,),
            )
            for number in range(engines)
        ]
        self.services = [
            UpstreamStandin(f's-{number}', documents.CATALOGUE, self.store)
            for number in range(2)
        ]
        self.regions: dict[str, str] = {}
        self.load_control: dict[str, bool] = {}
        self.grace_seconds = documents.GRACE_SECONDS
        self.daemons: list[RolloutApplication] = []
        self.store_endpoints: list[StoreEndpoint] = []
        self._ended: list[RolloutApplication] = []
        self._count = daemons
        self._together = together

    async def start(self) -> None:
        """Start everything and wait until the daemons are ready."""
        await self.cloud.server.start()
        await self.store.write('op', 'config', documents.build_config())
        for upstream in (*self.engines, *self.services):
            await upstream.start()
        for number in range(self._count):
            await self.add_daemon(f'vm-{number}')

    async def add_daemon(self, name: str) -> RolloutApplication:
        """Start one more daemon and wait until it is ready."""
        endpoint = StoreEndpoint(self.store)
        self.store_endpoints.append(endpoint)
        await endpoint.server.start()
        zone = 'hall-a' if self._together else f'hall-of-{name}'
        settings = documents.build_settings(
            name,
            endpoint.server.address,
            self.cloud.server.address,
            zone,
            self.regions,
        )
        settings['load_control'] = self.load_control
        settings['bounds']['grace_s'] = self.grace_seconds
        message = msgspec.convert(settings, SettingsMessage)
        daemon = RolloutApplication(PlatformDeployment(message))
        self.daemons.append(daemon)
        await daemon.on_start()
        await self.await_ready(daemon)
        return daemon

    async def end_daemon(self, daemon: RolloutApplication) -> None:
        """Stop a daemon at once, without notice to the others."""
        self._ended.append(daemon)
        await daemon.on_stop()

    async def await_ready(self, daemon: RolloutApplication) -> None:
        """Wait until a daemon reports that it is ready."""
        address = daemon.settings.listen.readiness
        async with asyncio.timeout(READY_SECONDS):
            while True:
                reply = await self.caller.call(
                    address, 'GET', '/quetzalcourse/ready'
                )
                if reply.status == OK:
                    return
                await asyncio.sleep(POLL_SECONDS)

    def address(self, number: int = 0) -> str:
        """Return the address at which a daemon serves callers."""
        return self.daemons[number].settings.listen.callers

    async def stop(self) -> None:
        """Stop everything."""
        for daemon in self.daemons:
            if daemon not in self._ended:
                await daemon.on_stop()
        for upstream in (*self.engines, *self.services):
            await upstream.stop()
        await self.cloud.server.stop()
        for endpoint in self.store_endpoints:
            await endpoint.server.stop()
