"""Callers of the soak test, which record their requests and responses."""

from __future__ import annotations

import asyncio
import random
import time
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
CALL_TIMEOUT_SECONDS = 3.0
READ_INTERVAL_SECONDS = 0.1
BATCH_INTERVAL_SECONDS = 0.4
LOOKUP_INTERVAL_SECONDS = 0.15
# A server that runs a request with this body crashes.
POISON_BODY = b'poison'
POISON_INTERVAL_SECONDS = 0.3
POISON_PATHS = (documents.LOOKUP_PREFIX, documents.NON_IDEMPOTENT_PREFIX)


@dataclass(slots=True)
class RequestOutcome:
    """Response to one request.

    :param status: HTTP status, or 0 if no response arrived.
    :param sent: time of the request in seconds since the epoch.
    :param answered: time of the response in seconds since the epoch.
    """

    request_id: str
    path: str
    status: int
    body: bytes = b''
    sent: float = 0
    answered: float = 0


@dataclass(slots=True)
class BatchRecord:
    """A batch as its callers observed it.

    :param scored: whether its texts are to be scored.
    :param always_unavailable: whether each submission was refused with 503.
    :param results: all results read so far, by position.
    :param violations: contradictions between responses for this batch.
    """

    id: str
    items: list[str]
    min_version: int
    scored: bool = False
    accepted: bool = False
    always_unavailable: bool = True
    results: dict[int, dict[str, Any]] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def add_page(self, after: int, page: dict[str, Any]) -> None:
        """Add a page of results and record contradictions to earlier pages."""
        if page['total'] != len(self.items):
            self.violations.append(f'{self.id}: total is {page["total"]}')
        for offset, result in enumerate(page['results']):
            earlier_result = self.results.setdefault(after + offset, result)
            if earlier_result != result:
                self.violations.append(f'{self.id}: position {after + offset}')

    @property
    def complete(self) -> bool:
        """Whether every result was read."""
        return len(self.results) == len(self.items)


class SoakCallers:
    """Interactive callers and a trainer that call random daemons.

    :param addresses: ``host:port`` of each daemon's listener for callers.
    """

    def __init__(self, addresses: list[str], seed: int) -> None:
        """Initialize without requests."""
        self.request_outcomes: list[RequestOutcome] = []
        self.batches: list[BatchRecord] = []
        self.target_version = 1
        self._addresses = addresses
        self._random = random.Random(seed)
        self._caller = Caller()
        self._lookup_count = 0
        self._poison_count = 0

    async def send_lookups(self, stop: asyncio.Event) -> None:
        """Send lookups, some of them non-idempotent, until ``stop`` is set."""
        while not stop.is_set():
            prefix = self._random.choice(
                [documents.LOOKUP_PREFIX, documents.NON_IDEMPOTENT_PREFIX]
            )
            self._lookup_count += 1
            request_id = f'r-{self._lookup_count}'
            outcome = RequestOutcome(request_id, prefix, 0, sent=time.time())
            try:
                reply = await self._caller.call(
                    self._choose_address(),
                    'POST',
                    prefix,
                    request_id.encode(),
                    request_id=request_id,
                    seconds=CALL_TIMEOUT_SECONDS,
                )
            except (aiohttp.ClientError, TimeoutError):
                reply = None
            if reply is not None:
                outcome.status = reply.status
                outcome.body = reply.body
                outcome.answered = time.time()
            self.request_outcomes.append(outcome)
            await asyncio.sleep(LOOKUP_INTERVAL_SECONDS)

    async def send_poison_requests(self, stop: asyncio.Event) -> None:
        """Send requests that crash servers until ``stop`` is set."""
        while not stop.is_set():
            for path in POISON_PATHS:
                await self.send_poison_request(self._choose_address(), path)
            await asyncio.sleep(POISON_INTERVAL_SECONDS)

    async def probe_daemons_with_poison(self) -> None:
        """Send each poison request once more to each daemon."""
        for address in self._addresses:
            for path in POISON_PATHS:
                await self.send_poison_request(address, path)
                await asyncio.sleep(POISON_INTERVAL_SECONDS)

    async def send_poison_request(self, address: str, path: str) -> None:
        """Send a request that crashes servers and ignore its outcome."""
        self._poison_count += 1
        with suppress(aiohttp.ClientError, TimeoutError):
            await self._caller.call(
                address,
                'POST',
                path,
                POISON_BODY,
                request_id=f'p-{self._poison_count}',
                seconds=CALL_TIMEOUT_SECONDS,
            )

    async def submit_batches(self, stop: asyncio.Event) -> None:
        """Submit one batch after another until ``stop`` is set."""
        while not stop.is_set():
            number = len(self.batches)
            items = [
                f'i-{number}-{item}'
                for item in range(self._random.randint(1, 24))
            ]
            record = BatchRecord(
                f'b-{number}',
                items,
                max(self.target_version - 1, 1),
                scored=number % 2 == 1,
            )
            self.batches.append(record)
            await self._submit(record, stop)
            await asyncio.sleep(BATCH_INTERVAL_SECONDS)

    async def read_batches(self, stop: asyncio.Event) -> None:
        """Read accepted batches, incomplete ones first, until ``stop`` is set.

        Complete batches are read again when no other is left.
        """
        while not stop.is_set():
            accepted = [record for record in self.batches if record.accepted]
            incomplete = [record for record in accepted if not record.complete]
            chosen = incomplete or accepted
            if chosen:
                await self.read_page(self._random.choice(chosen))
            await asyncio.sleep(READ_INTERVAL_SECONDS)

    async def read_remaining_batches(self, seconds: float) -> None:
        """Read until each accepted batch is complete or the time is over."""
        deadline = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < deadline:
            remaining = [
                record
                for record in self.batches
                if record.accepted and not record.complete
            ]
            if not remaining:
                return
            for record in remaining:
                await self.read_page(record)
            await asyncio.sleep(READ_INTERVAL_SECONDS)

    async def read_page(self, record: BatchRecord) -> None:
        """Read one page from a daemon chosen at random."""
        after = len(record.results)
        if record.complete:
            after = self._random.randrange(len(record.items))
        try:
            reply = await self._caller.read(
                self._choose_address(), record.id, after, wait_ms=300
            )
        except (aiohttp.ClientError, TimeoutError):
            return
        if reply.status == NOT_FOUND:
            record.violations.append(f'{record.id}: not found')
        if reply.status == OK:
            record.add_page(after, reply.read())

    async def _submit(self, record: BatchRecord, stop: asyncio.Event) -> None:
        batch = build_batch(
            record.items,
            scored=record.scored,
            min_version=record.min_version,
        )
        while not stop.is_set():
            reply = await self._try_submit(record.id, batch)
            if reply is None or reply.status != UNAVAILABLE:
                record.always_unavailable = False
            if reply is not None and reply.status == ACCEPTED:
                record.accepted = True
                return
            await asyncio.sleep(READ_INTERVAL_SECONDS)

    async def _try_submit(
        self,
        batch_id: str,
        batch: dict[str, Any],
    ) -> Reply | None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                return await self._caller.submit(
                    self._choose_address(), batch_id, batch
                )
        except (aiohttp.ClientError, TimeoutError):
            return None

    def _choose_address(self) -> str:
        return self._random.choice(self._addresses)
