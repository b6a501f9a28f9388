"""Fixtures of the tests of daemons on a platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from quetzalcourse.standins.rollout.cluster import RolloutCluster
from quetzalcourse.tests.running_time import RunningTime

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator


@pytest.fixture
def running_time() -> Iterator[RunningTime]:
    """Measure time without the pauses of an overloaded machine."""
    measuring = RunningTime()
    yield measuring
    measuring.stop()


@pytest_asyncio.fixture
async def cluster() -> AsyncIterator[RolloutCluster]:
    """Start one daemon with its platform."""
    running = RolloutCluster(daemons=1)
    await running.start()
    yield running
    await running.stop()


@pytest_asyncio.fixture
async def two_daemons() -> AsyncIterator[RolloutCluster]:
    """Start two daemons with their platform."""
    running = RolloutCluster(daemons=2)
    await running.start()
    yield running
    await running.stop()


@pytest_asyncio.fixture
async def carrying_daemons() -> AsyncIterator[RolloutCluster]:
    """Start two daemons that use the texts of ended batches."""
    running = RolloutCluster(daemons=2)
    running.load_control['carried_texts'] = True
    await running.start()
    yield running
    await running.stop()


@pytest_asyncio.fixture
async def shared_data_centre() -> AsyncIterator[RolloutCluster]:
    """Start three daemons in one data centre with their platform."""
    running = RolloutCluster(daemons=3, together=True)
    await running.start()
    yield running
    await running.stop()
