"""Clients that leave: each ends several open batches at the same time."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

from quetzalcourse.standins.rollout.cluster import Caller, build_batch
from soak.callers import ACCEPTED, CALL_TIMEOUT_SECONDS, OK

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from quetzalcourse.standins.rollout.cluster import Reply

# Together the batches of a client have more items than all engines have slots.
BATCHES_PER_CLIENT = 3
ITEMS_PER_BATCH = 16
MAX_STAY_SECONDS = 0.9
CLIENT_INTERVAL_SECONDS = 0.6
RETRY_SECONDS = 0.2


@dataclass(slots=True)
class EndedBatch:
    """A batch that its client ended.

    :param ended_at: monotonic time in seconds at which its end was
        acknowledged, 0 before.
    """

    id: str
    items: list[str] = field(default_factory=list)
    accepted: bool = False
    ended_at: float = 0


class LeavingClients:
    """Clients that submit batches, and end all of them before they are read.

    :param addresses: ``host:port`` of each daemon's listener for callers.
    """

    def __init__(self, addresses: list[str], seed: int) -> None:
        """Start without batches."""
        self.batches: list[EndedBatch] = []
        self._addresses = addresses
        self._random = random.Random(f'leaving {seed}')
        self._caller = Caller()

    async def run(self, stop: asyncio.Event) -> None:
        """Let one client after another arrive and leave until ``stop``."""
        clients: set[asyncio.Task[None]] = set()
        while not stop.is_set():
            task = asyncio.ensure_future(self._run_client(stop))
            clients.add(task)
            await asyncio.sleep(
                self._random.expovariate(1 / CLIENT_INTERVAL_SECONDS)
            )
        await asyncio.gather(*clients)

    async def _run_client(self, stop: asyncio.Event) -> None:
        address = self._random.choice(self._addresses)
        batches = [self._build() for _ in range(BATCHES_PER_CLIENT)]
        await asyncio.gather(*(self._submit(one, address) for one in batches))
        await asyncio.sleep(self._random.uniform(0, MAX_STAY_SECONDS))
        accepted = [one for one in batches if one.accepted]
        await asyncio.gather(*(self._end(one, stop) for one in accepted))

    def _build(self) -> EndedBatch:
        number = len(self.batches)
        items = [f'e-{number}-{item}' for item in range(ITEMS_PER_BATCH)]
        batch = EndedBatch(f'ended-{number}', items)
        self.batches.append(batch)
        return batch

    async def _submit(self, batch: EndedBatch, address: str) -> None:
        content = build_batch(batch.items)
        reply = await self._try(self._caller.submit(address, batch.id, content))
        batch.accepted = reply is not None and reply.status == ACCEPTED

    async def _end(self, batch: EndedBatch, stop: asyncio.Event) -> None:
        """End a batch, until a daemon acknowledges it."""
        last = False
        while not batch.ended_at and not last:
            # One more attempt once no fault is injected any more.
            last = stop.is_set()
            address = self._random.choice(self._addresses)
            reply = await self._try(self._caller.end(address, batch.id))
            if reply is not None and reply.status == OK:
                batch.ended_at = time.monotonic()
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def _try(self, call: Awaitable[Reply]) -> Reply | None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                return await call
        except (aiohttp.ClientError, TimeoutError):
            return None
