"""What the daemon adds to a plain call."""

from __future__ import annotations

import time

import aiohttp
from hdrh.histogram import HdrHistogram

from bench.figure import SHOWN, Figure
from quetzalcourse.standins.deployment import READER_KEY, SERVICE, Deployment

FIGURES = ('added_latency_us',)
CALLS = 1000
MICROSECONDS = 1_000_000
HIGHEST = 10_000_000


async def measure() -> list[Figure]:
    """Call a service directly and through the daemon, in turns."""
    deployment = Deployment()
    await deployment.on_start()
    direct = HdrHistogram(1, HIGHEST, 3)
    through = HdrHistogram(1, HIGHEST, 3)
    service = f'http://{deployment.services[0].address}/shelf'
    daemon = f'{deployment.url}/services/{SERVICE}/shelf'
    async with aiohttp.ClientSession() as session:
        for _ in range(CALLS):
            direct.record_value(await call(session, service))
            through.record_value(await call(session, daemon))
    await deployment.on_stop()
    added = [
        through.get_value_at_percentile(percentile)
        - direct.get_value_at_percentile(percentile)
        for percentile in (50, 99)
    ]
    return [
        Figure(
            'added_latency_us',
            added[0],
            'us at p50',
            SHOWN,
            baseline=direct.get_value_at_percentile(50),
            detail=f'p99 adds {added[1]} us',
        )
    ]


async def call(session: aiohttp.ClientSession, url: str) -> int:
    """Time one call, in microseconds."""
    headers = {'Authorization': f'Bearer {READER_KEY}'}
    began = time.perf_counter()
    async with session.get(url, headers=headers) as answer:
        await answer.read()
    return int((time.perf_counter() - began) * MICROSECONDS)
