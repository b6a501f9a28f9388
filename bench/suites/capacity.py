"""What a daemon's state costs for each key, account, upstream and peer."""

from __future__ import annotations

import asyncio
import os
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from bench.figure import SHOWN, Figure, at_most
from bench.slopes import Slope, fit_slope, measure_kept, read_resident
from quetzalcourse.coordination.slots.admission import Admission
from quetzalcourse.coordination.manifest.keys import KeyRing
from quetzalcourse.coordination.routing.routing import Router
from quetzalcourse.coordination.manifest.sections import (
    join_sections,
    split_sections,
)
from quetzalcourse.coordination.service_levels.service_levels import (
    EVENTS_METRIC,
)
from quetzalcourse.standins.deployment import build_settings
from quetzalcourse.standins.processes import DaemonProcess
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.manifest import (
    ClientAccount,
    KeyHash,
    Manifest,
    Upstream,
    UpstreamKind,
)
from quetzalcourse.state.members import Member, Topic
from quetzalcourse.transport.clock import SystemClock
from quetzalcourse.transport.peer_link import PeerLink

if TYPE_CHECKING:
    from collections.abc import Callable

FIGURES = (
    'resident_at_rest_mb',
    'memory_per_key_bytes',
    'memory_per_account_bytes',
    'memory_per_upstream_bytes',
    'memory_per_peer_socket_bytes',
)
SIZES = (100, 400, 1600)
PEERS = (10, 40, 120)
CONNECT_SECONDS = 1.0
MEGABYTE = 1024 * 1024
LEVELS = ('first-token', 'answered')


async def measure() -> list[Figure]:
    """Measure the slopes, and the daemon at rest they are added to."""
    return [
        await measure_rest(),
        describe('memory_per_key_bytes', measure_keys, 600),
        describe('memory_per_account_bytes', measure_accounts, 3000),
        describe('memory_per_upstream_bytes', measure_upstreams, 3000),
        await measure_peers(),
    ]


def describe(
    name: str,
    take: Callable[[int], int],
    limit: float,
) -> Figure:
    """Fit the slope of a cost over :data:`SIZES`.

    :param take: measures the cost at one size.
    :param limit: bound of the slope.
    """
    slope = fit_slope(SIZES, [take(size) for size in SIZES])
    return build_figure(name, slope, SIZES, limit)


def build_figure(
    name: str,
    slope: Slope,
    sizes: tuple[int, ...],
    limit: float,
) -> Figure:
    """Write a slope as a figure."""
    return Figure(
        name,
        slope.each,
        'bytes each',
        at_most(limit),
        detail=f'sizes {sizes}, largest error {slope.error:.1%}',
    )


async def measure_rest() -> Figure:
    """Start a daemon as a process and read its memory."""
    settings = build_settings('127.0.0.1:1').model_dump(mode='json')
    with tempfile.TemporaryDirectory() as folder:
        daemon = DaemonProcess(Path(folder), settings)
        await daemon.on_start()
        resident = read_resident(daemon.pid)
        await daemon.on_stop()
    return Figure(
        'resident_at_rest_mb',
        resident / MEGABYTE,
        'MB',
        SHOWN,
        detail='interpreter, libraries and an idle daemon',
    )


def measure_keys(count: int) -> int:
    """Measure the bytes that keys keep in a daemon."""
    keys = {
        f'key-{number}': KeyHash(
            f'key-{number}', f'account-{number % 8}', f'{number:064x}'
        )
        for number in range(count)
    }
    sections = split_sections(Manifest(keys=keys))

    def build() -> object:
        manifest = join_sections(1, sections).unwrap()
        ring = KeyRing()
        ring.replace_grants(manifest.keys.values())
        return manifest, ring

    return measure_kept(build)


def measure_accounts(count: int) -> int:
    """Measure the bytes that accounts keep, their events included."""
    accounts = {
        f'account-{number}': ClientAccount(
            f'account-{number}', 1.0, 100.0, 100, 100
        )
        for number in range(count)
    }
    sections = split_sections(Manifest(client_accounts=accounts))

    def build() -> object:
        manifest = join_sections(1, sections).unwrap()
        admission = Admission(SystemClock())
        admission.on_manifest(manifest)
        counters = Counters()
        for account in manifest.client_accounts:
            for level in LEVELS:
                counters.add(
                    EVENTS_METRIC,
                    service_level=level,
                    client_account=account,
                    outcome='good',
                )
        return manifest, admission, counters

    return measure_kept(build)


def measure_upstreams(count: int) -> int:
    """Measure the bytes that upstreams keep in admission and routing."""
    upstreams = {
        f'engine-{number}': Upstream(
            name=f'engine-{number}',
            kind=UpstreamKind.engine,
            data_centre=f'centre-{number % 7}',
            address=f'127.0.0.1:{number + 1024}',
            slots=64,
            models=('verse', 'assistant'),
        )
        for number in range(count)
    }
    sections = split_sections(Manifest(upstreams=upstreams))

    def build() -> object:
        manifest = join_sections(1, sections).unwrap()
        admission = Admission(SystemClock())
        admission.on_manifest(manifest)
        router = Router('centre-0')
        router.on_manifest(manifest)
        return manifest, admission, router

    return measure_kept(build)


async def measure_peers() -> Figure:
    """Measure the resident memory of sockets to peers that answer."""
    clock = SystemClock()
    secrets = [b'bench-secret']
    link = PeerLink('127.0.0.1:0', secrets, clock, Counters())
    link.update_own_member(Member('vm-0', 'vm-0-a', 'a', link.address))
    listeners: list[PeerLink] = []
    costs = []
    for count in PEERS:
        while len(listeners) < count:
            listener = PeerLink('127.0.0.1:0', secrets, clock, Counters())
            listeners.append(listener)
        before = read_resident(os.getpid())
        link.close_idle_sockets()
        for index, listener in enumerate(listeners):
            peer = Member(f'vm-{index}', f'{index}', 'a', listener.address)
            link.send(peer, Topic.heartbeat, b'beat')
        await asyncio.sleep(CONNECT_SECONDS)
        costs.append(read_resident(os.getpid()) - before)
    for listener in listeners:
        listener.stop()
    link.stop()
    opened = [PEERS[0]] + [
        larger - smaller
        for smaller, larger in zip(PEERS, PEERS[1:], strict=False)
    ]
    each = sum(costs) / sum(opened)
    return Figure(
        'memory_per_peer_socket_bytes',
        each,
        'bytes each',
        SHOWN,
        detail=f'resident, both ends of {sum(opened)} links',
    )
