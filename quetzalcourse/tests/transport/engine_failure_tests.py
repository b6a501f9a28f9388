"""Engines that refuse requests or are unreachable, over real sockets."""

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
async def test_only_an_engines_own_refusal_means_not_run(
    fault: str,
    setting: int,
    not_run: bool,
) -> None:
    # A gateway responds 503 when its engine dies during a request. If the
    # caller were told that nothing ran, it would pay for the tokens twice.
    deployment = Deployment()
    await deployment.on_start()
    for engine in deployment.engines:
        await break_engine(engine, fault, setting)
    headers = {'Authorization': f'Bearer {READER_KEY}'}
    body = {'model': MODEL, 'prompt': 'x', 'timeout_seconds': 10}
    url = f'{deployment.url}/v1/completions'
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.post(url, json=body) as response,
    ):
        error = (await response.json())['error']
        assert response.status == 502
        assert int(response.headers['retry-after']) >= 1
    assert error['not_run'] is not_run
    if not_run:
        assert not any(engine.record.started for engine in deployment.engines)
    await deployment.on_stop()


async def test_malformed_report_does_not_stop_the_polling_round() -> None:
    # A gateway responds in an engine's place. If that aborted the polling
    # round, no daemon would learn that another engine is draining.
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
    """Inject a fault, or stop the engine."""
    if fault == 'stop':
        await engine.stop()
    else:
        setattr(engine.faults, fault, setting)
