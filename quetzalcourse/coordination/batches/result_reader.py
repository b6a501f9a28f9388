"""Reads the committed results of batches, on any daemon."""

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

# Results that are not read for this long are evicted from memory, and read
# again from the store on demand.
CACHE_TTL = timedelta(seconds=5)
EVICTION_INTERVAL = timedelta(seconds=1)


@dataclass(slots=True)
class CachedResults:
    """Cached results of one batch.

    :param last_used: time since boot of the last access.
    :param changed: set when the store holds more results than the cache.
    """

    results: list[ItemResult] = field(default_factory=list)
    last_used: timedelta = timedelta(0)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class ResultReader:
    """Reads committed results, and waits for further ones.

    Only results in the store are returned: a position that one caller has read
    is the same for all others, whichever daemon owns the batch later.
    """

    def __init__(
        self,
        rows: BatchRows,
        directory: BatchDirectory,
        clock: Clock,
    ) -> None:
        """Initialise with an empty cache."""
        self._rows = rows
        self._clock = clock
        self._cache: dict[str, CachedResults] = {}
        self._listeners: list[WaitListener] = []
        directory.on_change(self.on_batch)

    def on_batch(self, view: BatchView) -> None:
        """Wake the callers that wait for results of a batch."""
        cached = self._cache.get(view.id)
        if cached is not None and view.ended:
            cached.changed.set()
        self.on_result_count(view.id, view.committed)

    def on_result_count(self, batch: str, listed: int) -> None:
        """Wake waiting callers if the store holds further results.

        :param listed: lower bound of the number of results in the store.
        """
        cached = self._cache.get(batch)
        if cached is not None and listed > len(cached.results):
            cached.changed.set()

    def on_wait(self, listener: WaitListener) -> None:
        """Call a listener whenever a caller starts to wait for results.

        It is called with the id of the batch and the number of cached results.
        """
        self._listeners.append(listener)

    def on_committed(
        self,
        batch: str,
        position: int,
        results: list[ItemResult],
    ) -> None:
        """Cache results that this daemon has just committed."""
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
        """Read the results, starting at a position.

        :param wait: longest time to wait for the first of them.
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
        """Evict unused results until the task is cancelled."""
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
