"""Results of batches, read by any daemon."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from quetzalcourse.coordination.tasks import wait_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.batches.batch_rows import BatchRows
    from quetzalcourse.coordination.batches.directory import (
        BatchDirectory,
        BatchView,
    )
    from quetzalcourse.state.batches import ItemResult
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.rows import StoreFault

    WaitListener = Callable[[str, int], None]

# Results that nobody read for so long are dropped from memory and read
# again from the store when somebody asks.
CACHE_TTL = timedelta(seconds=5)
EVICTION_INTERVAL = timedelta(seconds=1)


@dataclass(slots=True)
class CachedResults:
    """Results of one batch that this daemon has read.

    :param changed: set when the store holds more than was read.
    """

    results: list[ItemResult] = field(default_factory=list)
    last_used: timedelta = timedelta(0)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class ResultReader:
    """Reads committed results, and waits for more.

    Only what stands in the store is shown: a position that one caller has
    read is the same for every other, whoever owns the batch later.
    """

    def __init__(
        self,
        rows: BatchRows,
        directory: BatchDirectory,
        clock: Clock,
    ) -> None:
        """Begin without results."""
        self._rows = rows
        self._clock = clock
        self._cache: dict[str, CachedResults] = {}
        self._listeners: list[WaitListener] = []
        directory.on_change(self.on_batch)

    def on_batch(self, view: BatchView) -> None:
        """Wake those who wait for results of a batch."""
        cached = self._cache.get(view.id)
        if cached is not None and view.ended:
            cached.changed.set()
        self.on_result_count(view.id, view.committed)

    def on_result_count(self, batch: str, listed: int) -> None:
        """Learn how many results of a batch stand.

        :param listed: at least as many stand in the store.
        """
        cached = self._cache.get(batch)
        if cached is not None and listed > len(cached.results):
            cached.changed.set()

    def on_wait(self, listener: WaitListener) -> None:
        """Call a listener with each batch whose results are waited for.

        It gets the batch's id and how many results are known here.
        """
        self._listeners.append(listener)

    def on_committed(
        self,
        batch: str,
        position: int,
        results: list[ItemResult],
    ) -> None:
        """Learn results that this daemon itself has just committed."""
        cached = self._get_cached(batch)
        if len(cached.results) == position:
            cached.results.extend(results)
        cached.changed.set()

    async def read(
        self,
        batch: str,
        position: int,
        wait: timedelta,
    ) -> Result[list[ItemResult], StoreFault]:
        """Read the results from a position on.

        :param wait: how long to wait for the first of them.
        """
        cached = self._get_cached(batch)
        if len(cached.results) > position:
            return Ok(cached.results[position:])
        cached.changed.clear()
        answer = await self._refresh(batch, cached)
        if isinstance(answer, Err):
            return answer
        if len(cached.results) <= position and wait > timedelta(0):
            for listener in self._listeners:
                listener(batch, len(cached.results))
            await wait_event(cached.changed, wait)
            answer = await self._refresh(batch, cached)
            if isinstance(answer, Err):
                return answer
        cached.last_used = self._clock.elapsed()
        return Ok(cached.results[position:])

    async def run(self) -> None:
        """Drop what nobody reads, until the task is cancelled."""
        while True:
            await self._clock.sleep(EVICTION_INTERVAL)
            oldest = self._clock.elapsed() - CACHE_TTL
            unused = [
                batch
                for batch, cached in self._cache.items()
                if cached.last_used < oldest and not cached.lock.locked()
            ]
            for batch in unused:
                self._cache.pop(batch)

    def _get_cached(self, batch: str) -> CachedResults:
        cached = self._cache.setdefault(batch, CachedResults())
        cached.last_used = self._clock.elapsed()
        return cached

    async def _refresh(
        self,
        batch: str,
        cached: CachedResults,
    ) -> Result[None, StoreFault]:
        async with cached.lock:
            known = len(cached.results)
            answer = await self._rows.read_results(batch, known)
            if isinstance(answer, Err):
                return answer
            if len(cached.results) == known:
                cached.results.extend(answer.ok_value)
        return Ok(None)
