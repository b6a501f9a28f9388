"""What one token costs a daemon, by its own processor time."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

import aiohttp

from bench.figure import Figure, at_least
from bench.slopes import fit_slope, read_processor_time
from quetzalcourse.standins.deployment import (
    MODEL,
    READER_KEY,
    Deployment,
    build_settings,
)
from quetzalcourse.standins.processes import DaemonProcess

FIGURES = ('tokens_per_core_s', 'processor_us_per_request')
LENGTHS = (16, 256, 1024)
REQUESTS = 48
CONCURRENT = 12
MICROSECONDS = 1_000_000
HEADERS = {'Authorization': f'Bearer {READER_KEY}'}


async def measure() -> list[Figure]:
    """Stream answers of three lengths and fit the cost of a token."""
    deployment = Deployment(engine_count=1, token_seconds=0.0)
    await deployment.on_start()
    settings = build_settings(deployment.platform.address)
    with tempfile.TemporaryDirectory() as folder:
        daemon = DaemonProcess(Path(folder), settings.model_dump(mode='json'))
        await daemon.on_start()
        tokens, costs = await measure_lengths(daemon)
        await daemon.on_stop()
    await deployment.on_stop()
    slope = fit_slope(tokens, costs)
    points = ', '.join(
        f'{length:.0f} tokens {cost * MICROSECONDS:.0f} us'
        for length, cost in zip(tokens, costs, strict=True)
    )
    return [
        Figure(
            'tokens_per_core_s',
            1 / slope.each,
            'tokens a core second',
            at_least(2000),
            detail=f'a chunk a token; {points}',
        ),
        Figure(
            'processor_us_per_request',
            slope.start * MICROSECONDS,
            'us of a core',
            detail='streamed completion, without its tokens',
        ),
    ]


async def measure_lengths(
    daemon: DaemonProcess,
) -> tuple[list[float], list[float]]:
    """Measure the processor time of a request at each length.

    :returns: tokens a request, and seconds of a core a request.
    """
    tokens = []
    costs = []
    base = f'http://{daemon.address}'
    async with aiohttp.ClientSession(base, headers=HEADERS) as session:
        await stream_all(session, LENGTHS[0])
        for length in LENGTHS:
            before = read_processor_time(daemon.pid)
            streamed = await stream_all(session, length)
            spent = read_processor_time(daemon.pid) - before
            tokens.append(streamed / REQUESTS)
            costs.append(spent / REQUESTS)
    return tokens, costs


async def stream_all(session: aiohttp.ClientSession, length: int) -> int:
    """Stream every request, some at a time.

    :returns: events that carried tokens.
    """
    gate = asyncio.Semaphore(CONCURRENT)
    counts = await asyncio.gather(
        *(stream_one(session, gate, length, seed) for seed in range(REQUESTS))
    )
    return sum(counts)


async def stream_one(
    session: aiohttp.ClientSession,
    gate: asyncio.Semaphore,
    length: int,
    seed: int,
) -> int:
    """Stream one request and count its events."""
    body = {
        'model': MODEL,
        'prompt': 'a straggler',
        'seed': seed,
        'max_tokens': length * 4,
        'stream': True,
    }
    async with gate, session.post('/v1/completions', json=body) as answer:
        content = await answer.read()
    return content.count(b'data: {')
