"""Tables whose requests wait before and after they are applied."""

from __future__ import annotations

import asyncio
from collections import deque
from functools import partial
from typing import TYPE_CHECKING, Any

from result import Err, Result

from quetzalcourse.state.rows import FaultKind
from quetzalcourse.tests.tables import FakeStore, make_fault

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from quetzalcourse.state.rows import (
        TransactionResult,
        Row,
        StoreFault,
        Transaction,
    )


class GatedTable:
    """Access of one contender to a store; each gate waits to be opened.

    :param store: store that all contenders share.
    """

    def __init__(self, store: FakeStore) -> None:
        """Start without waiting requests."""
        self._store = store
        self._gates: deque[asyncio.Future[bool]] = deque()

    def open(self, lose: bool = False) -> None:
        """Let the request that has waited longest pass its gate.

        :param lose: lose the request, or its answer if it took effect.
        """
        if self._gates:
            self._gates.popleft().set_result(lose)

    async def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Read one row."""
        return await self._pass(partial(self._store.read, key))

    async def scan(
        self,
        prefix: str,
        after: str = '',
        limit: int = 1000,
    ) -> Result[list[Row], StoreFault]:
        """Read rows in key order."""
        return await self._pass(partial(self._store.scan, prefix, after, limit))

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[TransactionResult, StoreFault]:
        """Write rows atomically."""
        return await self._pass(partial(self._store.transact, transaction))

    async def _pass(self, request: Callable[[], Awaitable[Any]]) -> Any:
        if await self._wait():
            return Err(make_fault(FaultKind.unanswered))
        answer = await request()
        if await self._wait():
            return Err(make_fault(FaultKind.unanswered))
        return answer

    async def _wait(self) -> bool:
        gate = asyncio.get_running_loop().create_future()
        self._gates.append(gate)
        return await gate


class SlowTable:
    """Slow access of one process to a store; some requests time out.

    :param store: store that all processes share.
    :param timeout: seconds after which a request counts as unanswered; it
        may still be applied later.
    :param pause: returns the seconds to wait before and after the request is
        applied.
    """

    def __init__(
        self,
        store: FakeStore,
        timeout: float,
        pause: Callable[[], float],
    ) -> None:
        self._store = store
        self._timeout = timeout
        self._pause = pause
        self._late: set[asyncio.Future[Any]] = set()

    async def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Read one row."""
        return await self._pass(lambda: self._store.read(key))

    async def scan(
        self,
        prefix: str,
        after: str = '',
        limit: int = 1000,
    ) -> Result[list[Row], StoreFault]:
        """Read rows in key order."""
        return await self._pass(lambda: self._store.scan(prefix, after, limit))

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[TransactionResult, StoreFault]:
        """Write rows atomically."""
        return await self._pass(lambda: self._store.transact(transaction))

    async def _pass(self, request: Callable[[], Awaitable[Any]]) -> Any:
        running = asyncio.ensure_future(self._run(request))
        self._late.add(running)
        running.add_done_callback(self._late.discard)
        await asyncio.wait([running], timeout=self._timeout)
        if not running.done():
            return Err(make_fault(FaultKind.unanswered))
        return running.result()

    async def _run(self, request: Callable[[], Awaitable[Any]]) -> Any:
        await asyncio.sleep(self._pause())
        answer = await request()
        await asyncio.sleep(self._pause())
        return answer


def draw_pause(source: random.Random, longest: float) -> float:
    """Draw a pause that is mostly short and sometimes long.

    :param longest: longest pause in seconds.
    """
    if source.random() < 0.05:
        return source.uniform(0, longest)
    return source.uniform(0.001, 0.02)
