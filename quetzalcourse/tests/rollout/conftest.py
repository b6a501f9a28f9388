"""Fixtures of the tests of daemons on a platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest_asyncio

from quetzalcourse.standins.rollout.world import RolloutWorld

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest_asyncio.fixture
async def world() -> AsyncIterator[RolloutWorld]:
    """Start one daemon with its platform."""
    running = RolloutWorld(daemons=1)
    await running.start()
    yield running
    await running.stop()


@pytest_asyncio.fixture
async def pair() -> AsyncIterator[RolloutWorld]:
    """Start two daemons with their platform."""
    running = RolloutWorld(daemons=2)
    await running.start()
    yield running
    await running.stop()


@pytest_asyncio.fixture
async def neighbours() -> AsyncIterator[RolloutWorld]:
    """Start three daemons in one data centre with their platform."""
    running = RolloutWorld(daemons=3, together=True)
    await running.start()
    yield running
    await running.stop()
