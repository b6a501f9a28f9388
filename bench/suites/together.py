"""Daemons together: news, evictions, control load and rolling restarts."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from statistics import mean

import aiohttp
from hdrh.histogram import HdrHistogram

from bench.cluster import Cluster
from bench.figure import Figure, at_most
from bench.slopes import read_processor_time, read_resident
from quetzalcourse.coordination.manifest.key_change_log import KeyChangeLog
from quetzalcourse.coordination.manifest.keys import hash_secret
from quetzalcourse.standins.deployment import MODEL, READER_KEY, SERVICE
from quetzalcourse.state.keys import KeyRecord, build_tombstone

FIGURES = (
    'manifest_in_force_s',
    'key_withdrawn_s',
    'false_evictions',
    'control_bytes_per_s',
    'control_cpu_share',
    'control_memory_mb',
    'store_reads_per_s',
    'rolling_restart_cut_requests',
)
SIZES = (9, 25, 50)
RESTARTED = 6
SEED = 7
VERSIONS = 4
KEYS = 2
QUIET_SECONDS = 8.0
PAUSE_SECONDS = 2.0
PAUSES = 1
PAUSED = 4
HEALTHY_SECONDS = 3.0
CUT_SECONDS = 12.0
MICROSECONDS = 1_000_000
MEGABYTE = 1024 * 1024
HIGHEST = 60 * MICROSECONDS
# Bytes of Ethernet, IP and TCP headers and of the transport's own frame that
# each message costs besides its content, and one bare acknowledgement.
FRAME_BYTES = 14 + 20 + 32 + 8
ACKNOWLEDGEMENT_BYTES = 14 + 20 + 32
REQUESTS_PER_S = 40


async def measure() -> list[Figure]:
    """Measure at each size, then a rolling restart of a small cluster."""
    figures = []
    for size in SIZES:
        cluster = Cluster(size)
        try:
            await cluster.on_start()
            figures.extend(await measure_size(cluster, size))
        finally:
            await cluster.on_stop()
    cluster = Cluster(RESTARTED, token_seconds=0.05)
    try:
        await cluster.on_start()
        manifest = cluster.make_manifest()
        await cluster.wait_forced(await cluster.accept(manifest))
        figures.append(await measure_restart(cluster))
    finally:
        await cluster.on_stop()
    return figures


async def measure_size(cluster: Cluster, size: int) -> list[Figure]:
    """Measure everything but restarts with one number of daemons."""
    await cluster.wait_forced(await cluster.accept(cluster.make_manifest()))
    figures = await measure_rest(cluster, size)
    figures.append(await measure_evictions(cluster, size))
    for condition, bound in (('', HEALTHY_SECONDS), ('_cut', CUT_SECONDS)):
        cluster.platforms[0].faults.down = bool(condition)
        manifests = await measure_manifests(cluster)
        figures.append(
            show_times(
                f'manifest_in_force_s{condition}_{size}', manifests, bound
            )
        )
        keys = await measure_withdrawals(cluster, f'key{condition}')
        figures.append(
            show_times(f'key_withdrawn_s{condition}_{size}', keys, bound)
        )
    cluster.platforms[0].faults.down = False
    return figures


def show_times(name: str, times: list[float], bound: float) -> Figure:
    """Sum up times by their 99th percentile."""
    histogram = HdrHistogram(1, HIGHEST, 3)
    for seconds in times:
        histogram.record_value(max(1, int(seconds * MICROSECONDS)))
    at = histogram.get_value_at_percentile
    return Figure(
        name,
        round(at(99) / MICROSECONDS, 3),
        's at p99',
        at_most(bound),
        detail=(
            f'p50 {at(50) / MICROSECONDS:.3f}, '
            f'p99.9 {at(99.9) / MICROSECONDS:.3f}, {len(times)} samples'
        ),
    )


async def measure_manifests(cluster: Cluster) -> list[float]:
    """Accept versions and time them to each daemon."""
    times: list[float] = []
    chance = random.Random(SEED)
    manifest = cluster.make_manifest()
    for _ in range(VERSIONS):
        await asyncio.sleep(chance.uniform(0.2, 1.2))
        version = await cluster.accept(manifest)
        accepted = time.monotonic()
        forced = await cluster.wait_forced(version)
        times.extend(moment - accepted for moment in forced)
    return times


async def measure_withdrawals(cluster: Cluster, name: str) -> list[float]:
    """Withdraw keys while each daemon streams an answer to them."""
    times: list[float] = []
    table = KeyChangeLog(cluster.client)
    for number in range(KEYS):
        key_id = f'{name}-{number}'
        record = KeyRecord(key_id, 'readers', hash_secret('secret'))
        (await table.append(record)).unwrap()
        started = len(cluster.engine.record.started)
        streams = [
            asyncio.ensure_future(read_stream(cluster, daemon.address, key_id))
            for daemon in cluster.daemons
        ]
        while len(cluster.engine.record.started) < started + len(streams):
            await asyncio.sleep(0.1)
        (await table.append(build_tombstone(key_id))).unwrap()
        withdrawn = time.monotonic()
        ended = await asyncio.gather(*streams)
        times.extend(moment - withdrawn for moment in ended)
    return times


async def read_stream(cluster: Cluster, address: str, key_id: str) -> float:
    """Read a stream until its key stops, and tell when that was."""
    url = f'http://{address}/v1/completions'
    body = {
        'model': MODEL,
        'prompt': key_id + address,
        'max_tokens': 4000,
        'stream': True,
        'timeout_seconds': 3600,
    }
    headers = {'Authorization': f'Bearer {key_id}.secret'}
    while True:
        async with cluster.session.post(
            url, json=body, headers=headers
        ) as answer:
            content = b''
            async for line in answer.content:
                content = line if line.strip() else content
        if answer.status == 200 or b'key_withdrawn' in content:
            break
        # The grant has not come this far yet.
        await asyncio.sleep(0.1)
    if b'key_withdrawn' not in content:
        raise RuntimeError(f'the stream ended with {content!r}')
    return time.monotonic()


async def measure_evictions(cluster: Cluster, size: int) -> Figure:
    """Stop daemons for two seconds and count who was dropped."""
    chance = random.Random(SEED)
    cluster.lost = 0
    for _ in range(PAUSES):
        paused = chance.sample(cluster.daemons, PAUSED)
        for daemon in paused:
            cluster.pause(daemon)
        await asyncio.sleep(PAUSE_SECONDS)
        for daemon in paused:
            cluster.resume(daemon)
        await asyncio.sleep(PAUSE_SECONDS * 2)
    return Figure(
        f'false_evictions_{size}',
        cluster.lost,
        'evictions',
        at_most(0),
        detail=f'{PAUSED} daemons stopped for {PAUSE_SECONDS:g} s, {PAUSES} x',
    )


async def measure_rest(cluster: Cluster, size: int) -> list[Figure]:
    """Measure what daemons cost while nothing happens."""
    daemons = cluster.daemons
    before = [await cluster.read_metrics(daemon) for daemon in daemons]
    cpu = [read_processor_time(daemon.pid) for daemon in daemons]
    reads = cluster.table.follow_reads
    began = time.monotonic()
    await asyncio.sleep(QUIET_SECONDS)
    length = time.monotonic() - began
    used = [
        (read_processor_time(daemon.pid) - earlier) / length
        for daemon, earlier in zip(daemons, cpu, strict=True)
    ]
    reads = cluster.table.follow_reads - reads
    after = [await cluster.read_metrics(daemon) for daemon in daemons]
    sent = [
        count_bytes(last, 'sent') - count_bytes(first, 'sent')
        for first, last in zip(before, after, strict=True)
    ]
    beats = [
        count_topic(last) - count_topic(first)
        for first, last in zip(before, after, strict=True)
    ]
    memory = [read_resident(daemon.pid) / MEGABYTE for daemon in daemons]
    return [
        Figure(
            f'control_bytes_per_s_{size}',
            round(max(sent) / length),
            'bytes/s sent by the busiest daemon',
            at_most(12_000),
            detail=(
                f'mean {mean(sent) / length:.0f} with frames, heartbeats '
                f'{mean(beats) / length:.0f} without'
            ),
        ),
        Figure(
            f'control_cpu_share_{size}',
            round(mean(used), 4),
            'of a core, mean',
            at_most(0.037),
            detail=f'largest {max(used):.4f}, at rest, whole process',
        ),
        Figure(
            f'control_memory_mb_{size}',
            round(max(memory), 1),
            'MB resident, largest',
            detail=f'mean {mean(memory):.1f}',
        ),
        Figure(
            f'store_reads_per_s_{size}',
            round(reads / length, 2),
            'reads/s for manifest and keys',
            at_most(9),
            detail='three data centres, an interval of 0.5 s each',
        ),
    ]


def count_bytes(metrics: dict[str, float], way: str) -> float:
    """Count a daemon's bytes one way, with frames and acknowledgements."""
    content = metrics.get(f'quetzalcourse_peer_bytes_{way}_total', 0)
    sent = metrics.get('quetzalcourse_peer_messages_sent_total', 0)
    received = metrics.get('quetzalcourse_peer_messages_received_total', 0)
    frames = sent * FRAME_BYTES + received * ACKNOWLEDGEMENT_BYTES
    return content + frames


def count_topic(metrics: dict[str, float]) -> float:
    """Count the bytes of heartbeats without frames."""
    series = 'quetzalcourse_peer_bytes_sent_total{topic="heartbeat"}'
    return metrics.get(series, 0)


async def measure_restart(cluster: Cluster) -> Figure:
    """Replace every daemon under load and count requests that were cut."""
    balancer = Balancer(cluster)
    load = asyncio.ensure_future(balancer.run())
    codes = []
    for daemon in tuple(cluster.daemons):
        number = len(cluster.daemons)
        replacement = await cluster.start_daemon(number)
        await balancer.wait_ready(replacement.address)
        cluster.daemons.remove(daemon)
        daemon.send_signal(signal.SIGTERM)
        codes.append(await daemon.wait())
    balancer.running = False
    await load
    failed = len(balancer.failed) + sum(code != 0 for code in codes)
    return Figure(
        'rolling_restart_cut_requests',
        failed,
        'requests or exits',
        at_most(0),
        detail=(
            f'{len(codes)} daemons replaced, {balancer.sent} requests, '
            f'{sorted(set(balancer.failed))[:3]}'
        ),
    )


class Balancer:
    """Sends an even load to whatever daemon says that it is ready."""

    def __init__(self, cluster: Cluster) -> None:
        """Begin with nothing sent."""
        self.running = True
        self.sent = 0
        self.failed: list[str] = []
        self._cluster = cluster
        self._ready: set[str] = set()
        self._chance = random.Random(SEED)

    async def run(self) -> None:
        """Send requests at a fixed rate, whether or not they are answered."""
        checking = asyncio.ensure_future(self._check())
        calls = []
        connector = aiohttp.TCPConnector(limit=0)
        headers = {'Authorization': f'Bearer {READER_KEY}'}
        async with aiohttp.ClientSession(
            connector=connector, headers=headers
        ) as session:
            while self.running:
                if self._ready:
                    address = self._chance.choice(sorted(self._ready))
                    self.sent += 1
                    calls.append(
                        asyncio.ensure_future(self._send(session, address))
                    )
                await asyncio.sleep(1 / REQUESTS_PER_S)
            await asyncio.gather(*calls)
        checking.cancel()

    async def wait_ready(self, address: str) -> None:
        """Wait until a daemon is ready."""
        while address not in self._ready:
            await asyncio.sleep(0.05)

    async def _check(self) -> None:
        while True:
            addresses = [daemon.address for daemon in self._cluster.daemons]
            self._ready &= set(addresses)
            for address in addresses:
                await self._check_one(address)
            await asyncio.sleep(0.1)

    async def _check_one(self, address: str) -> None:
        url = f'http://{address}/readyz'
        try:
            async with self._cluster.session.get(url) as answer:
                ready = answer.status == 200
        except aiohttp.ClientError:
            ready = False
        if ready:
            self._ready.add(address)
        else:
            self._ready.discard(address)

    async def _send(self, session: aiohttp.ClientSession, address: str) -> None:
        streams = self.sent % 4 == 0
        try:
            if streams:
                await self._stream(session, address)
            else:
                await self._call(session, address)
        except (aiohttp.ClientError, TimeoutError) as error:
            self.failed.append(type(error).__name__)

    async def _call(self, session: aiohttp.ClientSession, address: str) -> None:
        url = f'http://{address}/services/{SERVICE}/shelf'
        async with session.get(url) as answer:
            await answer.read()
        if answer.status >= 400:
            self.failed.append(f'call {answer.status}')

    async def _stream(
        self,
        session: aiohttp.ClientSession,
        address: str,
    ) -> None:
        url = f'http://{address}/v1/completions'
        body = {
            'model': MODEL,
            'prompt': f'{address} {self.sent}',
            'max_tokens': 4,
            'stream': True,
        }
        async with session.post(url, json=body) as answer:
            content = await answer.read()
        if answer.status >= 400 or not content.endswith(b'[DONE]\n\n'):
            self.failed.append(f'stream {answer.status}')
