"""Steps outlive the daemons that run them, with daemons as processes."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

import pytest_asyncio

from quetzalcourse.client import TrainerClient
from quetzalcourse.protocol.callers import StepBody
from quetzalcourse.standins.deployment import (
    TRAINER,
    TRAINER_KEY,
    Deployment,
)
from quetzalcourse.standins.processes import DaemonProcess
from quetzalcourse.tests.daemon_tests import build_document

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from quetzalcourse.state.steps import Sample

GROUPS = 6
SAMPLES_PER_GROUP = 4
POLL = timedelta(milliseconds=50)
EXPECTED = Counter(
    {
        (group, index): 1
        for group in range(GROUPS)
        for index in range(SAMPLES_PER_GROUP)
    }
)


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Start stand-ins slow enough for a step to be caught half done."""
    running = Deployment(engine_count=1, token_seconds=0.02)
    await running.on_start()
    yield running
    await running.on_stop()


@pytest_asyncio.fixture
async def daemons(
    deployment: Deployment,
    tmp_path: Path,
) -> AsyncIterator[list[DaemonProcess]]:
    """Start two daemons before the same platform."""
    started = []
    for vm in ('vm-7', 'vm-8'):
        document = build_document(deployment.platform.address) | {'vm': vm}
        started.append(DaemonProcess(tmp_path, document))
    await asyncio.gather(*(daemon.on_start() for daemon in started))
    yield started
    await asyncio.gather(*(daemon.on_stop() for daemon in started))


def connect(*daemons: DaemonProcess) -> TrainerClient:
    """Connect a trainer to daemons."""
    addresses = [f'http://{daemon.address}' for daemon in daemons]
    return TrainerClient(addresses, TRAINER_KEY, poll=POLL)


async def create_step(client: TrainerClient) -> None:
    """Create a step whose groups differ in length."""
    await client.create(
        StepBody(
            trainer=TRAINER,
            step=1,
            prompts=[f'a line of group {group}' for group in range(GROUPS)],
            samples_per_group=SAMPLES_PER_GROUP,
            weight_version=1,
            max_tokens=1000,
        )
    )


async def read_some(
    client: TrainerClient,
    samples: list[Sample],
    enough: int,
) -> None:
    """Read samples until there are enough."""
    async for sample in client.samples(TRAINER, 1):
        samples.append(sample)
        if len(samples) >= enough:
            return


async def expect_half_done(client: TrainerClient) -> None:
    """Make sure that the first daemon is in the midst of the step."""
    progress = await client.observe(TRAINER, 1)
    assert progress.delivery.whole_at is None
    assert progress.run is not None
    assert 0 < progress.run.committed < progress.total
    assert progress.run.holder.startswith('vm-7-')


def count_samples(samples: list[Sample]) -> Counter[tuple[int, int]]:
    """Count how often each sample was read."""
    assert all(sample.versions for sample in samples)
    return Counter((sample.group, sample.index) for sample in samples)


async def test_killed_runner_is_followed(
    daemons: list[DaemonProcess],
) -> None:
    # The daemon that runs a step is killed half way. A trainer would wait
    # for ever, or read again what it has already learnt from.
    samples: list[Sample] = []
    async with connect(daemons[0]) as client:
        await create_step(client)
        await read_some(client, samples, 1)
        await expect_half_done(client)
    daemons[0].send_signal(signal.SIGKILL)
    await daemons[0].wait()
    seen = {(sample.group, sample.index) for sample in samples}
    async with connect(daemons[1]) as client:
        again: list[Sample] = []
        await read_some(client, again, len(EXPECTED))
        progress = await client.observe(TRAINER, 1)
    assert count_samples(again) == EXPECTED
    assert seen <= set(EXPECTED)
    assert progress.delivery.whole_at is not None


async def test_paused_runner_commits_nothing_more(
    daemons: list[DaemonProcess],
) -> None:
    # The daemon that runs a step is stopped longer than its lease lasts, as
    # a paused VM is, and goes on when another has finished the step. Its
    # own samples must not be delivered beside those of the other.
    samples: list[Sample] = []
    async with connect(daemons[0]) as client:
        await create_step(client)
        await read_some(client, samples, 1)
        await expect_half_done(client)
    daemons[0].send_signal(signal.SIGSTOP)
    async with connect(daemons[1]) as client:
        again: list[Sample] = []
        await read_some(client, again, len(EXPECTED))
        finished = await client.observe(TRAINER, 1)
        daemons[0].send_signal(signal.SIGCONT)
        await asyncio.sleep(1)
        later = await client.observe(TRAINER, 1)
    assert count_samples(again) == EXPECTED
    assert finished.delivery.delivered == len(EXPECTED)
    assert later.delivery == finished.delivery


async def test_outage_of_the_store_holds_the_step(
    deployment: Deployment,
    daemons: list[DaemonProcess],
) -> None:
    # The platform's store is down while a step runs. What was generated
    # must be kept and delivered once when the store is back.
    samples: list[Sample] = []
    async with connect(*daemons) as client:
        await create_step(client)
        while not deployment.engines[0].record.started:
            await asyncio.sleep(0.01)
        deployment.platform.faults.down = True
        await asyncio.sleep(2)
        deployment.platform.faults.down = False
        await read_some(client, samples, len(EXPECTED))
    assert count_samples(samples) == EXPECTED
