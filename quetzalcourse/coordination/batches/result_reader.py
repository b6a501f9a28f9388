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
KEPT = timedelta(seconds=5)
TICK = timedelta(seconds=1)


@dataclass(slots=True)
class CachedResults:
    """Results of one batch that this daemon has read.

    :param changed: set when the store holds more than was read.
    """

    results: list[ItemResult] = field(default_factory=list)
    used: timedelta = timedelta(0)
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
        self._shelves: dict[str, CachedResults] = {}
        self._listeners: list[WaitListener] = []
        directory.on_change(self.on_batch)

    def on_batch(self, view: BatchView) -> None:
        """Wake those who wait for results of a batch."""
        shelf = self._shelves.get(view.id)
        if shelf is not None and view.ended:
            shelf.changed.set()
        self.on_result_count(view.id, view.committed)

    def on_result_count(self, batch: str, listed: int) -> None:
        """Learn how many results of a batch stand.

        :param listed: at least as many stand in the store.
        """
        shelf = self._shelves.get(batch)
        if shelf is not None and listed > len(shelf.results):
            shelf.changed.set()

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
        shelf = self._open(batch)
        if len(shelf.results) == position:
            shelf.results.extend(results)
        shelf.changed.set()

    async def read(
        self,
        batch: str,
        position: int,
        wait: timedelta,
    ) -> Result[list[ItemResult], StoreFault]:
        """Read the results from a position on.

        :param wait: how long to wait for the first of them.
        """
        shelf = self._open(batch)
        if len(shelf.results) > position:
            return Ok(shelf.results[position:])
        shelf.changed.clear()
        answer = await self._refresh(batch, shelf)
        if isinstance(answer, Err):
            return answer
        if len(shelf.results) <= position and wait > timedelta(0):
            for listener in self._listeners:
                listener(batch, len(shelf.results))
            await wait_event(shelf.changed, wait)
            answer = await self._refresh(batch, shelf)
            if isinstance(answer, Err):
                return answer
        shelf.used = self._clock.elapsed()
        return Ok(shelf.results[position:])

    async def run(self) -> None:
        """Drop what nobody reads, until the task is cancelled."""
        while True:
            await self._clock.sleep(TICK)
            oldest = self._clock.elapsed() - KEPT
            unused = [
                batch
                for batch, shelf in self._shelves.items()
                if shelf.used < oldest and not shelf.lock.locked()
            ]
            for batch in unused:
                self._shelves.pop(batch)

    def _open(self, batch: str) -> CachedResults:
        shelf = self._shelves.setdefault(batch, CachedResults())
        shelf.used = self._clock.elapsed()
        return shelf

    async def _refresh(
        self,
        batch: str,
        shelf: CachedResults,
    ) -> Result[None, StoreFault]:
        async with shelf.lock:
            known = len(shelf.results)
            answer = await self._rows.read_results(batch, known)
            if isinstance(answer, Err):
                return answer
            if len(shelf.results) == known:
                shelf.results.extend(answer.ok_value)
        return Ok(None)
