"""Callers of the soak: what they asked, and what they were told."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.cluster import Caller, Reply, build_batch

OK = 200
ACCEPTED = 202
NOT_FOUND = 404
UNAVAILABLE = 503
CALL_SECONDS = 3.0
READ_PAUSE = 0.1
STEP_PAUSE = 0.4
LOOKUP_PAUSE = 0.15
# Body that ends the servers which run it.
POISON = b'poison'
POISON_PAUSE = 0.3
POISON_PATHS = (documents.LOOKUP_PREFIX, documents.NON_IDEMPOTENT_PREFIX)


@dataclass(slots=True)
class Told:
    """Outcome of one request."""

    request_id: str
    path: str
    status: int
    body: bytes = b''


@dataclass(slots=True)
class BatchRecord:
    """A batch as its callers saw it.

    :param scored: whether its texts are to be scored.
    :param pages: every result that was read, by position.
    """

    id: str
    items: list[str]
    min_version: int
    scored: bool = False
    accepted: bool = False
    refused_only: bool = True
    pages: dict[int, dict[str, Any]] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def note(self, after: int, page: dict[str, Any]) -> None:
        """Take a page, and tell of what contradicts an earlier one."""
        if page['total'] != len(self.items):
            self.faults.append(f'{self.id}: total is {page["total"]}')
        for offset, result in enumerate(page['results']):
            known = self.pages.setdefault(after + offset, result)
            if known != result:
                self.faults.append(f'{self.id}: position {after + offset}')

    @property
    def whole(self) -> bool:
        """Whether every result was read."""
        return len(self.pages) == len(self.items)


class SoakCallers:
    """Humans and a trainer that call daemons at random.

    :param addresses: where the daemons serve callers.
    """

    def __init__(self, addresses: list[str], seed: int) -> None:
        """Begin without requests."""
        self.told: list[Told] = []
        self.batches: list[BatchRecord] = []
        self.named = 1
        self._addresses = addresses
        self._random = random.Random(seed)
        self._caller = Caller()
        self._count = 0
        self._poison_count = 0

    async def look_up(self, stop: asyncio.Event) -> None:
        """Send lookups, some of which must run once, until told to stop."""
        while not stop.is_set():
            prefix = self._random.choice(
                [documents.LOOKUP_PREFIX, documents.NON_IDEMPOTENT_PREFIX]
            )
            self._count += 1
            request_id = f'r-{self._count}'
            told = Told(request_id, prefix, 0)
            try:
                reply = await self._caller.call(
                    self._choose(),
                    'POST',
                    prefix,
                    request_id.encode(),
                    request_id=request_id,
                    seconds=CALL_SECONDS,
                )
            except (aiohttp.ClientError, TimeoutError):
                reply = None
            if reply is not None:
                told.status = reply.status
                told.body = reply.body
            self.told.append(told)
            await asyncio.sleep(LOOKUP_PAUSE)

    async def send_poison(self, stop: asyncio.Event) -> None:
        """Send requests that end servers, over and over."""
        while not stop.is_set():
            for path in POISON_PATHS:
                await self.ask_poison(self._choose(), path)
            await asyncio.sleep(POISON_PAUSE)

    async def probe_poison(self) -> None:
        """Send them once more to each daemon."""
        for address in self._addresses:
            for path in POISON_PATHS:
                await self.ask_poison(address, path)
                await asyncio.sleep(POISON_PAUSE)

    async def ask_poison(self, address: str, path: str) -> None:
        """Send a request that ends servers, whatever comes of it."""
        self._poison_count += 1
        with suppress(aiohttp.ClientError, TimeoutError):
            await self._caller.call(
                address,
                'POST',
                path,
                POISON,
                request_id=f'p-{self._poison_count}',
                seconds=CALL_SECONDS,
            )

    async def train(self, stop: asyncio.Event) -> None:
        """Submit one batch after another until told to stop."""
        while not stop.is_set():
            number = len(self.batches)
            items = [
                f'i-{number}-{item}'
                for item in range(self._random.randint(1, 24))
            ]
            record = BatchRecord(
                f'b-{number}',
                items,
                max(self.named - 1, 1),
                scored=number % 2 == 1,
            )
            self.batches.append(record)
            await self._submit(record, stop)
            await asyncio.sleep(STEP_PAUSE)

    async def read(self, stop: asyncio.Event) -> None:
        """Read accepted batches, also ones that were read before."""
        while not stop.is_set():
            accepted = [one for one in self.batches if one.accepted]
            open_batches = [one for one in accepted if not one.whole]
            chosen = open_batches or accepted
            if chosen:
                await self.read_page(self._random.choice(chosen))
            await asyncio.sleep(READ_PAUSE)

    async def finish(self, seconds: float) -> None:
        """Read until every accepted batch is whole, or time is over."""
        ends = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends:
            left = [
                one for one in self.batches if one.accepted and not one.whole
            ]
            if not left:
                return
            for record in left:
                await self.read_page(record)
            await asyncio.sleep(READ_PAUSE)

    async def read_page(self, record: BatchRecord) -> None:
        """Read one page at a daemon chosen at random."""
        after = len(record.pages)
        if record.whole:
            after = self._random.randrange(len(record.items))
        try:
            reply = await self._caller.read(
                self._choose(), record.id, after, wait_ms=300
            )
        except (aiohttp.ClientError, TimeoutError):
            return
        if reply.status == NOT_FOUND:
            record.faults.append(f'{record.id}: not found')
        if reply.status == OK:
            record.note(after, reply.read())

    async def _submit(self, record: BatchRecord, stop: asyncio.Event) -> None:
        batch = build_batch(
            record.items,
            scored=record.scored,
            min_version=record.min_version,
        )
        while not stop.is_set():
            reply = await self._try_submit(record.id, batch)
            if reply is None or reply.status != UNAVAILABLE:
                record.refused_only = False
            if reply is not None and reply.status == ACCEPTED:
                record.accepted = True
                return
            await asyncio.sleep(READ_PAUSE)

    async def _try_submit(
        self,
        batch_id: str,
        batch: dict[str, Any],
    ) -> Reply | None:
        try:
            async with asyncio.timeout(CALL_SECONDS):
                return await self._caller.submit(
                    self._choose(), batch_id, batch
                )
        except (aiohttp.ClientError, TimeoutError):
            return None

    def _choose(self) -> str:
        return self._random.choice(self._addresses)
