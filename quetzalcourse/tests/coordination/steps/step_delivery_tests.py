"""Concurrent readers of a batch receive the same samples."""

from __future__ import annotations

import asyncio

import pytest

from quetzalcourse.coordination.service_levels.service_levels import (
    ServiceLevelTracker,
)
from quetzalcourse.coordination.steps.delivery_metrics import DeliveryMetrics
from quetzalcourse.coordination.steps.staleness import NewestVersions
from quetzalcourse.coordination.steps.step_delivery import StepDelivery
from quetzalcourse.coordination.steps.step_rows import (
    build_batch_key,
    build_delivery_key,
    encode,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.rows import Transaction, Write
from quetzalcourse.state.steps import (
    DeliveryRecord,
    Sample,
    StepBatch,
    VersionRange,
)
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.step_simulation import (
    MODEL,
    TRAINER,
    FakePlatform,
    build_spec,
)

SPEC = build_spec(groups=1, samples_per_group=2, staleness_bound=1)


async def build_platform() -> FakePlatform:
    platform = FakePlatform()
    samples = tuple(
        Sample(0, index, 'a', 1, 'stop', (VersionRange(index + 1, 0, 1),))
        for index in range(2)
    )
    writes = (
        Write(build_delivery_key(TRAINER, 1), encode(DeliveryRecord())),
        Write(build_batch_key(TRAINER, 1, 0), encode(StepBatch(0, samples))),
    )
    await platform.transact(Transaction((), writes))
    platform.writes = 0
    return platform


def build_delivery(platform: FakePlatform, newest: int) -> StepDelivery:
    clock, counters = FakeClock(), Counters()
    newest_versions = NewestVersions(platform, clock)
    newest_versions.observe(MODEL, newest)
    levels = ServiceLevelTracker(clock, counters)
    metrics = DeliveryMetrics(clock, counters, levels)
    return StepDelivery(platform, newest_versions, metrics)


@pytest.mark.parametrize('versions', [(1, 3), (3, 1), (3, 3), (1, 1)])
@pytest.mark.parametrize('fault', ['', 'lost_before', 'lost_after'])
async def test_concurrent_readers_receive_same_batch(
    versions: tuple[int, int],
    fault: str,
) -> None:
    # Two workers of a trainer read a batch through two daemons, only one of
    # which knows of newer weights. A sample that one worker receives and
    # the other sees dropped would be generated and delivered twice.
    platform = await build_platform()
    platform.write_faults.append(fault)
    readers = [build_delivery(platform, newest) for newest in versions]
    readings = [reader.read(SPEC, 0) for reader in readers]
    first, second = await asyncio.gather(*readings)
    assert first.unwrap() == second.unwrap()
    again = await build_delivery(platform, 9).read(SPEC, 0)
    assert again.unwrap() == first.unwrap()
