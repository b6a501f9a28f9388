"""Service calls over real sockets with a faulty upstream or caller."""

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
    """Call the service; errors are decoded as JSON, other bodies as bytes."""
    async with (
        aiohttp.ClientSession(headers=KEY | headers) as session,
        session.request(method, f'{url}{PATH}', data=body) as response,
    ):
        assert response.headers['x-request-id']
        if response.status < 400:
            return response.status, await response.read()
        return response.status, (await response.json())['error']


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
async def test_call_on_a_dropped_connection_is_not_resent(
    deployment: Deployment,
    method: str,
    fault: str,
    runs: int,
    code: str,
) -> None:
    # A service closes a reused connection without a response. HTTP clients
    # regard PUT and DELETE as idempotent and resend them, so that a
    # reservation would be made twice.
    service = deployment.services[0]
    body = None if method == 'GET' else b'verse'
    await call(deployment.url, method, body)
    service.record.calls.clear()
    setattr(service.faults, fault, 1)
    _, response = await call(deployment.url, method, body)
    assert len(service.record.calls) == runs
    if code:
        assert response['code'] == code
        assert response['not_run'] is False
    assert deployment.daemon.admission.running(f'{SERVICE}-0') == 0


async def test_call_to_unreachable_service_is_not_run(
    deployment: Deployment,
) -> None:
    # The service is down. No byte of the call was sent, so the caller can
    # safely retry.
    await deployment.services[0].stop()
    status, error = await call(deployment.url)
    assert status == 502
    assert error['code'] == 'upstream_failed'
    assert error['not_run'] is True


async def test_idempotency_key_runs_once_across_daemons(
    deployment: Deployment,
) -> None:
    # The load balancer sends a caller's retry to another daemon, which has not
    # seen the first attempt.
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


async def test_keyed_call_without_store_is_not_run(
    deployment: Deployment,
) -> None:
    # The store is down. Sent without a claim of its key, the call could run
    # again through another daemon.
    deployment.platform.faults.down = True
    _, error = await call(deployment.url, **{'Idempotency-Key': 'night-1'})
    assert error['code'] == 'store_unavailable'
    assert error['not_run'] is True
    assert not deployment.services[0].record.calls
    status, _ = await call(deployment.url)
    assert status == 200


async def test_draining_service_completes_its_calls(
    deployment: Deployment,
) -> None:
    # The platform reclaims a service's VM. The running call must complete,
    # and the next call must not be sent to that VM.
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


async def test_disconnected_caller_frees_the_slot(
    deployment: Deployment,
) -> None:
    # A caller disconnects while a slow service works on its call.
    deployment.services[0].faults.slow_seconds = 30.0
    task = asyncio.create_task(call(deployment.url))
    await wait_running(deployment, 1)
    task.cancel()
    await wait_running(deployment, 0)
    assert deployment.daemon.activity.serving == 0


async def test_deadline_ends_a_slow_call_as_outcome_unknown(
    deployment: Deployment,
) -> None:
    # The caller set a timeout. The call was sent before it expired, so the
    # error must not claim that it did not run.
    deployment.services[0].faults.slow_seconds = 30.0
    _, error = await call(deployment.url, **{'X-Timeout-Seconds': '0.2'})
    assert (error['code'], error['not_run']) == ('outcome_unknown', False)
    await wait_running(deployment, 0)


async def wait_running(deployment: Deployment, count: int) -> None:
    """Wait until the given number of calls hold a slot of the service."""
    for _ in range(400):
        if deployment.daemon.admission.running(f'{SERVICE}-0') == count:
            return
        await asyncio.sleep(0.01)
    raise AssertionError('unexpected number of held slots')
