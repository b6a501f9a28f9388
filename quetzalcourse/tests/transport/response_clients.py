"""Calls by every HTTP client of the package, for tests of responses."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

import aiohttp
from result import Ok

from quetzalcourse.transport.channel import Channel
from quetzalcourse.transport.connections import build_connector, send_once
from quetzalcourse.transport.upstream_client import (
    CallFailedError,
    UpstreamClient,
    read_chunks,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    Call = Callable[..., Awaitable[bytes | None]]

TIMEOUT = timedelta(seconds=5)
UPLOAD_CHUNK = b'u' * 65536
UPLOAD_CHUNKS = 400


async def upload() -> AsyncIterator[bytes]:
    """Upload a body that takes longer than an early response."""
    for _ in range(UPLOAD_CHUNKS):
        yield UPLOAD_CHUNK
        await asyncio.sleep(0.001)


async def call_upstream(address: str, *, long: bool) -> bytes | None:
    """Call as requests, items and scoring calls do, ``None`` if it fails."""
    client = UpstreamClient()
    body = upload() if long else b'short'
    try:
        async with client.open(
            address, 'POST', '/', [('Host', 'a')], body, TIMEOUT
        ) as response:
            chunks = [chunk async for chunk in read_chunks(response, TIMEOUT)]
            return b''.join(chunks)
    except CallFailedError:
        return None
    finally:
        await client.close()


async def call_channel(address: str, *, long: bool) -> bytes | None:
    """Call as the store, the cloud and orders are called."""
    channel = Channel(address)
    body = UPLOAD_CHUNK * UPLOAD_CHUNKS if long else b'short'
    answer = await channel.request(
        'POST', '/', body, seconds=TIMEOUT.total_seconds()
    )
    await channel.close()
    return answer.ok_value.content if isinstance(answer, Ok) else None


async def call_session(address: str, *, long: bool) -> bytes | None:
    """Call as engines and the platform's other services are called."""
    async with aiohttp.ClientSession(
        connector=build_connector(), middlewares=(send_once,)
    ) as session:
        try:
            async with session.post(
                f'http://{address}/', data=upload() if long else b'short'
            ) as response:
                return await response.read()
        except aiohttp.ClientError:
            return None


CLIENTS = (call_upstream, call_channel, call_session)
