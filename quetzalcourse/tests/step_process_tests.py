"""Tests of steps that outlive the process that runs them."""

from __future__ import annotations

import asyncio
import signal
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import pytest

from quetzalcourse.client import TrainerClient
from quetzalcourse.protocol.callers import StepBody
from quetzalcourse.standins.deployment import (
    TRAINER,
    TRAINER_KEY,
    Deployment,
)
from quetzalcourse.standins.processes import DaemonProcess
from quetzalcourse.standins.tokens import make_token, plan_length

if TYPE_CHECKING:
    from pathlib import Path

BODY = StepBody(
    trainer=TRAINER,
    step=3,
    prompts=[f'line {group}' for group in range(12)],
    samples_per_group=8,
    weight_version=1,
)
TOTAL = 96


def build_document(platform: str) -> dict[str, Any]:
    return {
        'vm': 'vm-9',
        'data_centre': 'lac-hall',
        'listen': {'callers': '127.0.0.1:0', 'peers': '127.0.0.1:0'},
        'platform': {'address': platform},
    }


def expect_text(group: int, index: int) -> str:
    prompt = BODY.prompts[group]
    length = plan_length(prompt, index, BODY.max_tokens)
    return ''.join(make_token(prompt, index, at) for at in range(length))


async def expect_half_done(trainer: TrainerClient) -> None:
    """Check that the process has committed part of the step."""
    progress = await trainer.observe(TRAINER, BODY.step)
    assert progress.delivery.whole_at is None
    assert progress.run is not None
    assert progress.run.holder.startswith('vm-9-')
    assert 0 < progress.run.committed < TOTAL


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
async def test_step_outlives_its_process(
    tmp_path: Path,
    number: signal.Signals,
) -> None:
    # The process that runs a step is killed, or paused for longer than its
    # lease, while the trainer reads. The trainer could miss samples that it
    # had started, or get samples from two runs.
    deployment = Deployment(token_seconds=0.02)
    await deployment.on_start()
    process = DaemonProcess(
        tmp_path, build_document(deployment.platform.address)
    )
    await process.on_start()
    client = TrainerClient(
        [f'http://{process.address}', deployment.url],
        TRAINER_KEY,
        poll=timedelta(milliseconds=100),
        call_timeout=timedelta(seconds=1),
    )
    places: list[tuple[int, int]] = []
    try:
        async with client as trainer:
            await trainer.create(BODY)
            async for sample in trainer.samples(TRAINER, BODY.step):
                if not places:
                    await expect_half_done(trainer)
                    process.send_signal(number)
                if len(places) == TOTAL - 1 and number is signal.SIGSTOP:
                    process.send_signal(signal.SIGCONT)
                places.append((sample.group, sample.index))
                assert sample.text == expect_text(*places[-1])
                assert sample.versions
            finished = await trainer.observe(TRAINER, BODY.step)
            await asyncio.sleep(1)
            later = await trainer.observe(TRAINER, BODY.step)
    finally:
        await process.on_stop()
        await deployment.on_stop()
    assert len(places) == len(set(places)) == TOTAL
    assert finished.delivery.delivered == TOTAL
    assert later.delivery == finished.delivery


async def test_step_completes_after_an_outage_of_the_store() -> None:
    # The platform's store is down while a step runs. Generated samples must
    # be kept and delivered once after the outage.
    deployment = Deployment(engine_count=1, token_seconds=0.02)
    await deployment.on_start()
    places: list[tuple[int, int]] = []
    async with TrainerClient(
        [deployment.url], TRAINER_KEY, poll=timedelta(milliseconds=100)
    ) as trainer:
        await trainer.create(BODY)
        while not deployment.engines[0].record.started:
            await asyncio.sleep(0.01)
        deployment.platform.faults.down = True
        await asyncio.sleep(2)
        deployment.platform.faults.down = False
        async for sample in trainer.samples(TRAINER, BODY.step):
            places.append((sample.group, sample.index))
            assert sample.text == expect_text(*places[-1])
    await deployment.on_stop()
    assert len(places) == len(set(places)) == TOTAL
