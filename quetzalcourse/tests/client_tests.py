"""Tests of the trainer client with daemons over real sockets."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest
import pytest_asyncio

from quetzalcourse.application import Application
from quetzalcourse.client import StepError, TrainerClient
from quetzalcourse.protocol.callers import StepBody
from quetzalcourse.standins.deployment import (
    READER_KEY,
    TRAINER,
    TRAINER_KEY,
    Deployment,
    build_settings,
)
from quetzalcourse.state.refusal import RefusalCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Trainers may use either event loop.
pytestmark = pytest.mark.every_loop
POLL = timedelta(milliseconds=20)
BODY = StepBody(
    trainer=TRAINER,
    step=7,
    prompts=['first', 'second'],
    samples_per_group=4,
    weight_version=1,
)
KEYS = {(group, index) for group in range(2) for index in range(4)}


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    running = Deployment()
    await running.on_start()
    yield running
    await running.on_stop()


def connect(
    deployment: Deployment,
    *more: str,
    key: str = TRAINER_KEY,
) -> TrainerClient:
    return TrainerClient([*more, deployment.url], key, poll=POLL)


async def test_samples_survive_a_replaced_daemon(
    deployment: Deployment,
) -> None:
    # The daemon that created and ran the step is replaced while its trainer
    # reads. The trainer must get every sample once through another daemon.
    second = Application(build_settings(deployment.platform.address))
    await second.on_start()
    async with connect(deployment, f'http://{second.address}') as trainer:
        await trainer.create(BODY)
        places = []
        async for sample in trainer.samples(TRAINER, 7):
            places.append((sample.group, sample.index))
            if len(places) == 1:
                await second.on_drain()
                await second.on_stop()
    assert len(places) == len(KEYS)
    assert set(places) == KEYS


async def test_unacknowledged_batches_are_read_again(
    deployment: Deployment,
) -> None:
    # A trainer crashes in the middle of a batch. Its successor must get the
    # whole batch, or the rest of it would be lost.
    async with connect(deployment) as trainer:
        await trainer.create(BODY)
        async for first in trainer.samples(TRAINER, 7):
            break
    async with connect(deployment) as trainer:
        again = [sample async for sample in trainer.samples(TRAINER, 7)]
        assert first in again
        assert {(one.group, one.index) for one in again} == KEYS
        assert [one async for one in trainer.samples(TRAINER, 7)] == []


@pytest.mark.parametrize(
    ('changes', 'key', 'code'),
    [
        ({'samples_per_group': 5}, TRAINER_KEY, RefusalCode.conflict),
        ({'samples_per_group': 0}, TRAINER_KEY, RefusalCode.invalid_body),
        ({'prompts': []}, TRAINER_KEY, RefusalCode.invalid_body),
        ({'deadline_seconds': -1.0}, TRAINER_KEY, RefusalCode.invalid_body),
        ({'trainer': 'nobody'}, TRAINER_KEY, RefusalCode.not_found),
        ({}, READER_KEY, RefusalCode.forbidden),
        ({}, 'wrong.key', RefusalCode.unauthenticated),
    ],
)
async def test_invalid_steps_are_refused(
    deployment: Deployment,
    changes: dict[str, Any],
    key: str,
    code: RefusalCode,
) -> None:
    # A trainer sends an invalid request. Retries would not help, so the call
    # must fail at once.
    async with connect(deployment) as trainer:
        await trainer.create(BODY)
    fields = {name: getattr(BODY, name) for name in BODY.__struct_fields__}
    async with connect(deployment, key=key) as trainer:
        with pytest.raises(StepError) as caught:
            await trainer.create(StepBody(**fields | changes))
    assert caught.value.code == code


@pytest.mark.parametrize('cursor', ['-1', 'x', '1.5', '99'])
async def test_invalid_cursors_are_refused(
    deployment: Deployment,
    cursor: str,
) -> None:
    # A cursor that was never handed out would silently skip samples.
    async with connect(deployment) as trainer:
        await trainer.create(BODY)
    headers = {'Authorization': f'Bearer {TRAINER_KEY}'}
    path = f'{deployment.url}/v1/steps/{TRAINER}/7/samples?cursor={cursor}'
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.get(path) as answer:
            assert answer.status == 400
            detail = (await answer.json())['error']
    assert detail['code'] == RefusalCode.invalid_body
    assert detail['not_run'] is True


async def test_cancelled_step_is_refused(deployment: Deployment) -> None:
    async with connect(deployment) as trainer:
        await trainer.create(BODY)
        await trainer.cancel(TRAINER, 7)
        assert (await trainer.observe(TRAINER, 7)).delivery.cancelled
        with pytest.raises(StepError) as caught:
            await trainer.read(TRAINER, 7, 0)
    assert caught.value.code == RefusalCode.cancelled
