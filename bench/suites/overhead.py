"""What the daemon adds to a plain call, and how many a core bears."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from pathlib import Path

import aiohttp
from hdrh.histogram import HdrHistogram

from bench.figure import SHOWN, Figure, at_least, at_most
from quetzalcourse.standins.deployment import (
    DATA_CENTRE,
    READER_KEY,
    SERVICE,
    Deployment,
)
from quetzalcourse.standins.processes import DaemonProcess

FIGURES = (
    'added_latency_us',
    'added_latency_ratio',
    'requests_per_core_s',
)
WARM_UP = 200
CALLS = 1500
CROWD = 16
CROWD_CALLS = 250
MICROSECONDS = 1_000_000
HIGHEST = 10_000_000
TICKS = os.sysconf('SC_CLK_TCK')
USER_FIELD = 11
SYSTEM_FIELD = 12
HEADERS = {'Authorization': f'Bearer {READER_KEY}'}


async def measure() -> list[Figure]:
    """Call a service directly and through a daemon, in turns.

    The daemon runs in a process of its own, as it does in use; the service
    shares this process with the caller in both cases.
    """
    deployment = Deployment(engine_count=1)
    await deployment.on_start()
    with tempfile.TemporaryDirectory() as folder:
        daemon = DaemonProcess(Path(folder), build_document(deployment))
        await daemon.on_start()
        await wait_ready(daemon.address)
        figures = await compare(deployment, daemon)
        await daemon.on_stop()
    await deployment.on_stop()
    return figures


def build_document(deployment: Deployment) -> dict[str, object]:
    """Write the settings of a daemon before the stand-ins."""
    return {
        'vm': 'vm-bench',
        'data_centre': DATA_CENTRE,
        'listen': {'callers': '127.0.0.1:0', 'peers': '127.0.0.1:0'},
        'platform': {'address': deployment.platform.address},
        'drain': {'balancer_seconds': 0.0, 'deadline_seconds': 5.0},
        'log': {'level': 'info', 'format': 'json'},
    }


async def wait_ready(address: str) -> None:
    """Wait until a daemon has a manifest."""
    async with aiohttp.ClientSession() as session:
        while True:
            async with session.get(f'http://{address}/readyz') as answer:
                if answer.status == 200:
                    return
            await asyncio.sleep(0.05)


async def compare(
    deployment: Deployment,
    daemon: DaemonProcess,
) -> list[Figure]:
    """Measure one call at a time, then a crowd."""
    direct = HdrHistogram(1, HIGHEST, 3)
    through = HdrHistogram(1, HIGHEST, 3)
    service = f'http://{deployment.services[0].address}/shelf'
    url = f'http://{daemon.address}/services/{SERVICE}/shelf'
    async with aiohttp.ClientSession(headers=HEADERS) as session:
        for _ in range(WARM_UP):
            await call(session, service)
            await call(session, url)
        for _ in range(CALLS):
            direct.record_value(await call(session, service))
            through.record_value(await call(session, url))
        per_core = await measure_core(session, url, daemon.pid)
    return [*judge(direct, through), per_core]


def judge(direct: HdrHistogram, through: HdrHistogram) -> list[Figure]:
    """Compare the two distributions."""
    percentiles = {
        percentile: (
            direct.get_value_at_percentile(percentile),
            through.get_value_at_percentile(percentile),
        )
        for percentile in (50, 99, 99.9)
    }
    added = {key: one[1] - one[0] for key, one in percentiles.items()}
    median = percentiles[50]
    return [
        Figure(
            'added_latency_us',
            added[50],
            'us at p50',
            SHOWN,
            baseline=median[0],
            detail=f'p99 adds {added[99]} us, p99.9 {added[99.9]} us',
        ),
        Figure(
            'added_latency_ratio',
            added[50] / median[0],
            'added over direct at p50',
            at_most(4.0),
            detail=f'through {median[1]} us, direct {median[0]} us',
        ),
    ]


async def measure_core(
    session: aiohttp.ClientSession,
    url: str,
    pid: int,
) -> Figure:
    """Count the calls that a second of the daemon's processor time bears."""

    async def ask() -> None:
        for _ in range(CROWD_CALLS):
            await call(session, url)

    before = read_processor_seconds(pid)
    began = time.perf_counter()
    await asyncio.gather(*(ask() for _ in range(CROWD)))
    took = time.perf_counter() - began
    seconds = read_processor_seconds(pid) - before
    calls = CROWD * CROWD_CALLS
    return Figure(
        'requests_per_core_s',
        calls / seconds,
        'calls per s of processor time',
        at_least(500.0),
        detail=f'{calls / took:.0f} calls a second by the clock',
    )


def read_processor_seconds(pid: int) -> float:
    """Read the processor time that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])) / TICKS


async def call(session: aiohttp.ClientSession, url: str) -> int:
    """Time one call, in microseconds."""
    began = time.perf_counter()
    async with session.get(url) as answer:
        answer.raise_for_status()
        await answer.read()
    return int((time.perf_counter() - began) * MICROSECONDS)
