"""Engines that refuse or vanish, over real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import pytest

from quetzalcourse.standins.deployment import MODEL, READER_KEY, Deployment

if TYPE_CHECKING:
    from quetzalcourse.standins.engine import EngineStandin


@pytest.mark.parametrize(
    ('fault', 'setting', 'not_run'),
    [
        ('refuse', True, True),
        ('gateway_status', 503, False),
        ('gateway_status', 500, False),
        ('stop', True, True),
    ],
)
async def test_refusal_is_the_engines_own(
    fault: str,
    setting: int,
    not_run: bool,
) -> None:
    # A gateway answers 503 when its engine died in the middle of a request.
    # Told that nothing ran, the caller would pay for the tokens twice.
    deployment = Deployment()
    await deployment.on_start()
    for engine in deployment.engines:
        await break_engine(engine, fault, setting)
    headers = {'Authorization': f'Bearer {READER_KEY}'}
    body = {'model': MODEL, 'prompt': 'x', 'timeout_seconds': 10}
    url = f'{deployment.url}/v1/completions'
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.post(url, json=body) as answer,
    ):
        error = (await answer.json())['error']
        assert answer.status == 502
        assert int(answer.headers['retry-after']) >= 1
    assert error['not_run'] is not_run
    if not_run:
        assert not any(engine.record.started for engine in deployment.engines)
    await deployment.on_stop()


async def test_strange_report_stops_no_other() -> None:
    # A gateway answers in an engine's place. If that ended the round, no
    # daemon would hear that another engine is about to leave.
    deployment = Deployment()
    await deployment.on_start()
    deployment.engines[0].faults.strange_report = True
    deployment.engines[1].faults.leaving = True
    upstreams = deployment.daemon.upstreams
    await upstreams.engine_poller.poll_all(include_remote=True)
    assert upstreams.drains.list_draining() == ['engine-1']
    await deployment.on_stop()


async def break_engine(
    engine: EngineStandin,
    fault: str,
    setting: int,
) -> None:
    """Switch a fault on, or take the engine away."""
    if fault == 'stop':
        await engine.stop()
    else:
        setattr(engine.faults, fault, setting)
