"""Termination of requests of withdrawn keys, and the operators' route."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest
import pytest_asyncio

from quetzalcourse.application import Application
from quetzalcourse.coordination.manifest.keys import hash_secret
from quetzalcourse.standins.deployment import (
    MODEL,
    READER_KEY,
    SERVICE,
    Deployment,
    build_settings,
)
from quetzalcourse.tests.clocks import settle

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

OPERATOR = 'an operator key'
KEY_ID = READER_KEY.partition('.')[0]
HEADERS = {'Authorization': f'Bearer {READER_KEY}'}
BODY = {'model': MODEL, 'prompt': 'a long answer', 'max_tokens': 4000}


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Start stand-ins with a slow engine, and a daemon with an operator."""
    running = Deployment(engine_count=1, token_seconds=0.05)
    await running.daemon.on_stop()
    running.daemon = Application(
        build_settings(
            running.platform.address,
            operators={'key_hashes': [hash_secret(OPERATOR)]},
        )
    )
    await running.on_start()
    yield running
    await running.on_stop()


@pytest_asyncio.fixture
async def session(
    deployment: Deployment,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Connect a caller."""
    connected = aiohttp.ClientSession(deployment.url, headers=HEADERS)
    yield connected
    await connected.close()


async def test_stream_of_a_withdrawn_key_ends_with_the_reason(
    deployment: Deployment,
    session: aiohttp.ClientSession,
) -> None:
    # A key is withdrawn while a response streams. The stream must end at once
    # with the reason and must not claim that nothing ran.
    body = BODY | {'stream': True}
    async with session.post('/v1/completions', json=body) as response:
        await response.content.readline()
        deployment.daemon.keys.withdraw(KEY_ID)
        rest = await response.read()
    assert b'"key_withdrawn"' in rest
    assert b'"not_run":false' in rest
    assert b'[DONE]' not in rest
    async with session.post('/v1/completions', json=BODY) as response:
        assert response.status == 401
        assert (await response.json())['error']['code'] == 'key_withdrawn'


async def test_unstarted_response_of_a_withdrawn_key_is_refused(
    deployment: Deployment,
    session: aiohttp.ClientSession,
) -> None:
    # The response has not started, so the refusal still sets its status.
    asking = asyncio.ensure_future(session.post('/v1/completions', json=BODY))
    while not deployment.engines[0].record.started:
        await asyncio.sleep(0.01)
    deployment.daemon.keys.withdraw(KEY_ID)
    response = await asking
    refusal = (await response.json())['error']
    assert response.status == 401
    assert refusal['code'] == 'key_withdrawn'
    assert refusal['not_run'] is False


async def test_idle_connection_of_a_withdrawn_key_is_closed(
    deployment: Deployment,
) -> None:
    # A caller keeps its connection open between requests. The withdrawal must
    # close it and leave the connections of other keys open.
    kept, kept_writer = await open_idle(deployment, 'trainer.trainer-secret')
    closed, closed_writer = await open_idle(deployment, READER_KEY)
    assert not closed.at_eof()
    deployment.daemon.keys.withdraw(KEY_ID)
    assert await closed.read() == b''
    assert not kept.at_eof()
    for writer in (kept_writer, closed_writer):
        writer.close()


async def open_idle(
    deployment: Deployment,
    key: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send one request, read the response and keep the connection open."""
    host, _, port = deployment.daemon.address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    request = (
        f'HEAD /services/{SERVICE}/shelf HTTP/1.1\r\n'
        f'Host: x\r\nAuthorization: Bearer {key}\r\n\r\n'
    )
    writer.write(request.encode())
    response = await reader.readuntil(b'\r\n\r\n')
    assert b'200 OK' in response
    await settle()
    return reader, writer


@pytest.mark.parametrize(
    ('operator', 'record', 'status', 'code'),
    [
        ('', {'key_id': 'new'}, 403, 'forbidden'),
        ('another key', {'key_id': 'new'}, 403, 'forbidden'),
        (OPERATOR, {'key_id': 'a key'}, 400, 'invalid_body'),
        (OPERATOR, {'key_id': 'new'}, 400, 'invalid_body'),
        (OPERATOR, {'key_id': 'new', 'withdrawn': 3}, 400, 'invalid_body'),
        (OPERATOR, {'key_id': 'gone', 'grant': True}, 409, 'conflict'),
    ],
)
async def test_invalid_key_change_is_refused(
    deployment: Deployment,
    session: aiohttp.ClientSession,
    operator: str,
    record: dict[str, Any],
    status: int,
    code: str,
) -> None:
    # A key change without a valid operator key, or with an invalid record,
    # must change nothing.
    keys = deployment.daemon.keys
    keys.withdraw('gone')
    if record.pop('grant', False):
        grant = {'client_account': 'readers', 'digest': hash_secret('x')}
        record = record | grant
    headers = {'Authorization': f'Bearer {operator}'}
    async with session.post(
        '/operator/keys', json=record, headers=headers
    ) as response:
        assert response.status == status
        assert (await response.json())['error']['code'] == code
    assert list(keys.records) == ['gone']
    assert keys.is_withdrawn('gone')


async def test_operator_grants_and_withdraws_a_key_on_a_daemon(
    deployment: Deployment,
    session: aiohttp.ClientSession,
) -> None:
    # The platform is unreachable, so the operator changes the key on a daemon.
    deployment.platform.faults.down = True
    record = {
        'key_id': 'new',
        'client_account': 'readers',
        'digest': hash_secret('new-secret'),
    }
    operator = {'Authorization': f'Bearer {OPERATOR}'}
    caller = {'Authorization': 'Bearer new.new-secret'}
    path = f'/services/{SERVICE}/shelf'
    statuses = []
    for change in (record, {'key_id': 'new', 'withdrawn': True}):
        async with session.post(
            '/operator/keys', json=change, headers=operator
        ) as response:
            assert response.status == 200
        async with session.get(path, headers=caller) as response:
            statuses.append(response.status)
    assert statuses == [200, 401]
    deployment.platform.faults.down = False
