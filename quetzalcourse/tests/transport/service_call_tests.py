"""Plain calls over real sockets, whose upstream or caller misbehaves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest
import pytest_asyncio

from quetzalcourse.application import Application
from quetzalcourse.standins.deployment import (
    DATA_CENTRE,
    READER_KEY,
    SERVICE,
    Deployment,
    build_settings,
)
from quetzalcourse.state.members import Vm

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PATH = f'/services/{SERVICE}/shelves'
KEY = {'Authorization': f'Bearer {READER_KEY}'}


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Start a small deployment."""
    running = Deployment(engine_count=1)
    await running.on_start()
    yield running
    await running.on_stop()


async def call(
    url: str,
    method: str = 'POST',
    body: Any = b'verse',
    **headers: str,
) -> tuple[int, Any]:
    """Call the service; a refusal is read as JSON, an answer as bytes."""
    async with (
        aiohttp.ClientSession(headers=KEY | headers) as session,
        session.request(method, f'{url}{PATH}', data=body) as answer,
    ):
        assert answer.headers['x-request-id']
        if answer.status < 400:
            return answer.status, await answer.read()
        return answer.status, (await answer.json())['error']


@pytest.mark.parametrize(
    ('method', 'fault', 'runs', 'code'),
    [
        ('POST', 'drop_before', 0, 'outcome_unknown'),
        ('POST', 'drop_after', 1, 'outcome_unknown'),
        ('PUT', 'drop_after', 1, 'outcome_unknown'),
        ('DELETE', 'drop_after', 1, 'outcome_unknown'),
        ('GET', 'drop_before', 1, ''),
        ('GET', 'drop_after', 2, ''),
    ],
)
async def test_dropped_call_runs_once(
    deployment: Deployment,
    method: str,
    fault: str,
    runs: int,
    code: str,
) -> None:
    # A service closes a connection that is in use again without an answer.
    # HTTP clients take PUT and DELETE for repeatable and send them again,
    # and the reservation would be made twice.
    service = deployment.services[0]
    body = None if method == 'GET' else b'verse'
    await call(deployment.url, method, body)
    service.record.calls.clear()
    setattr(service.faults, fault, 1)
    _, answer = await call(deployment.url, method, body)
    assert len(service.record.calls) == runs
    if code:
        assert answer['code'] == code
        assert answer['not_run'] is False
    assert deployment.daemon.admission.running(f'{SERVICE}-0') == 0


async def test_unreachable_service_did_not_run(deployment: Deployment) -> None:
    # The service is gone. No byte of the call went out, so the caller may
    # safely send it again later.
    await deployment.services[0].stop()
    status, error = await call(deployment.url)
    assert status == 502
    assert error['code'] == 'upstream_failed'
    assert error['not_run'] is True


async def test_key_runs_once_over_daemons(deployment: Deployment) -> None:
    # The balancer sends a caller's second try to another daemon, which
    # knows nothing of the first.
    other = Application(build_settings(deployment.platform.address))
    await other.on_start()
    runs = deployment.services[0].record.calls
    key = {'Idempotency-Key': 'reservation-7'}
    status, _ = await call(deployment.url, **key)
    assert status == 200
    url = f'http://{other.address}'
    _, error = await call(url, **key)
    assert (error['code'], error['not_run']) == ('already_ran', False)
    _, error = await call(url, body=b'prose', **key)
    assert (error['code'], error['not_run']) == ('conflict', True)
    await other.on_drain()
    await other.on_stop()
    assert len(runs) == 1


async def test_key_without_store_is_not_run(deployment: Deployment) -> None:
    # The store is down. Sent without its claim, the call could run again
    # through another daemon.
    deployment.platform.faults.down = True
    _, error = await call(deployment.url, **{'Idempotency-Key': 'night-1'})
    assert error['code'] == 'store_unavailable'
    assert error['not_run'] is True
    assert not deployment.services[0].record.calls
    status, _ = await call(deployment.url)
    assert status == 200


async def test_leaving_service_finishes_its_calls(
    deployment: Deployment,
) -> None:
    # The platform takes a service's VM away. The call that runs must not
    # be cut, and the next one must not be sent into the cut.
    service = deployment.services[0]
    service.faults.slow_seconds = 0.3
    running = asyncio.create_task(call(deployment.url))
    await wait_running(deployment, 1)
    leaving = deployment.daemon.upstreams.drains
    leaving.on_vms([Vm(f'{SERVICE}-0', DATA_CENTRE, '', leaving=True)])
    leaving.check()
    _, error = await call(deployment.url)
    assert (error['code'], error['not_run']) == ('upstream_failed', True)
    assert await running == (200, b'verse')
    assert len(service.record.calls) == 1


async def test_caller_that_leaves_frees_the_slot(
    deployment: Deployment,
) -> None:
    # A reader closes the page while a slow service works on its call.
    deployment.services[0].faults.slow_seconds = 30.0
    task = asyncio.create_task(call(deployment.url))
    await wait_running(deployment, 1)
    task.cancel()
    await wait_running(deployment, 0)
    assert deployment.daemon.activity.serving == 0


async def test_deadline_ends_a_slow_call(deployment: Deployment) -> None:
    # The caller said how long it waits. The call was sent, so nobody may
    # say that it did not run.
    deployment.services[0].faults.slow_seconds = 30.0
    _, error = await call(deployment.url, **{'X-Timeout-Seconds': '0.2'})
    assert (error['code'], error['not_run']) == ('outcome_unknown', False)
    await wait_running(deployment, 0)


async def wait_running(deployment: Deployment, count: int) -> None:
    """Wait until so many calls hold a slot of the service."""
    for _ in range(400):
        if deployment.daemon.admission.running(f'{SERVICE}-0') == count:
            return
        await asyncio.sleep(0.01)
    raise AssertionError('the slots do not change')
