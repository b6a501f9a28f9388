"""Tests that waiting callers get new results without delay."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

from result import Ok

from quetzalcourse.coordination.batches.result_notifications import (
    SUBSCRIPTION_TTL,
    ResultNotifications,
)
from quetzalcourse.coordination.batches.result_reader import ResultReader
from quetzalcourse.state.batches import ItemResult, ResultState
from quetzalcourse.tests.clocks import FakeClock, settle
from quetzalcourse.tests.coordinators import COORDINATORS
from quetzalcourse.tests.peers import FakeMembers, FakeNetwork

OWNER, READER = COORDINATORS[:2]
# Longest wait of a read; the feed delivers nothing meanwhile.
WAIT = timedelta(seconds=20)
RESULT = ItemResult('i', ResultState.completed, 'text', [1], '')


class FakeRows:
    """Results in the store.

    The next ``empty_reads`` reads come just before the results.
    """

    def __init__(self) -> None:
        """Initialise without results."""
        self.results: list[ItemResult] = []
        self.empty_reads = 0

    async def read_results(self, batch: str, known: int) -> Any:
        """Read the results after the known ones."""
        if self.empty_reads:
            self.empty_reads -= 1
            return Ok([])
        return Ok(self.results[known:])


class World:
    """The owner of a batch, and another daemon where its caller reads."""

    def __init__(self) -> None:
        """Start with a batch without results."""
        self.clock = FakeClock()
        self.network = FakeNetwork()
        self.rows = FakeRows()
        self.run = SimpleNamespace(committed=0)
        self.owner, _ = self._build(OWNER, {'b': self.run})
        _, self.reader = self._build(READER, {})

    async def commit(self) -> None:
        """Commit a result, and report it to the listener."""
        self.rows.results.append(RESULT)
        self.run.committed += 1
        self.owner.on_committed('b', self.run.committed - 1, [RESULT])
        await settle()

    def _build(
        self,
        own: Any,
        batches: dict[str, Any],
    ) -> tuple[ResultNotifications, ResultReader]:
        view = SimpleNamespace(owner=SimpleNamespace(vm=OWNER.vm))
        directory: Any = SimpleNamespace(
            find=lambda _: view, on_change=lambda _: None
        )
        rows: Any = self.rows
        runner: Any = SimpleNamespace(batches=batches)
        reader = ResultReader(rows, directory, self.clock)
        notifications = ResultNotifications(
            directory,
            runner,
            reader,
            self.network.join(own),
            FakeMembers(own, [OWNER, READER]),
            self.clock,
        )
        return notifications, reader


async def test_waiting_caller_is_notified_at_once() -> None:
    # A trainer waits at one of hundreds of daemons for the last item of its
    # step. Through the feed alone that daemon gets the result a second later,
    # which delays the next step as much.
    world = World()
    reading = asyncio.ensure_future(world.reader.read('b', 0, WAIT))
    await settle()
    assert not reading.done()
    await world.commit()
    assert (await reading).unwrap() == [RESULT]


async def test_result_committed_before_the_subscription_is_notified() -> None:
    # The result is committed after the daemon has read the store and before
    # its subscription arrives. The caller would wait for the next result.
    world = World()
    world.rows.empty_reads = 1
    world.rows.results.append(RESULT)
    world.run.committed = 1
    reading = asyncio.ensure_future(world.reader.read('b', 0, WAIT))
    await settle()
    assert reading.done()
    assert reading.result().unwrap() == [RESULT]


async def test_expired_subscription_gets_no_notifications() -> None:
    """A caller that gave up costs no further messages."""
    world = World()
    reading = asyncio.ensure_future(world.reader.read('b', 0, WAIT))
    await settle()
    reading.cancel()
    world.clock.move(SUBSCRIPTION_TTL * 2)
    other = asyncio.ensure_future(world.reader.read('b', 0, WAIT))
    await settle()
    other.cancel()
    before = len(world.network.sent)
    await world.commit()
    await world.commit()
    assert len(world.network.sent) - before == 1
