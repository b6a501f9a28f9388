"""One request of each kind, end to end over real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp
import pytest
import pytest_asyncio

from quetzalcourse.standins.deployment import (
    MODEL,
    READER_KEY,
    SERVICE,
    TRAINER,
    TRAINER_KEY,
    Deployment,
)
from quetzalcourse.standins.tokens import make_token, plan_length

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PROMPT = 'stock of the third shelf'
SECRETS = (READER_KEY, READER_KEY.partition('.')[2])


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Start a small deployment."""
    running = Deployment()
    await running.on_start()
    yield running
    await running.on_stop()


@pytest_asyncio.fixture
async def session(
    deployment: Deployment,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Connect a caller."""
    async with aiohttp.ClientSession(deployment.url) as connected:
        yield connected


def build_expected_text(max_tokens: int) -> str:
    """Compute the text that the stand-in engine generates."""
    length = plan_length(PROMPT, 0, max_tokens)
    tokens = [make_token(PROMPT, 0, offset) for offset in range(length)]
    return ''.join(tokens)


async def post(
    session: aiohttp.ClientSession,
    path: str,
    body: Any,
    key: str = READER_KEY,
) -> tuple[int, Any]:
    """Send a JSON body and decode the JSON response."""
    headers = {'Authorization': f'Bearer {key}'}
    async with session.post(path, json=body, headers=headers) as response:
        return response.status, await response.json()


async def test_completion_returns_the_complete_text(
    session: aiohttp.ClientSession,
) -> None:
    body = {'model': MODEL, 'prompt': PROMPT, 'max_tokens': 40}
    status, response = await post(session, '/v1/completions', body)
    assert status == 200
    assert response['object'] == 'text_completion'
    assert response['choices'][0]['text'] == build_expected_text(40)
    assert response['weight_versions'] == [1]


async def test_chat_returns_an_assistant_message(
    session: aiohttp.ClientSession,
) -> None:
    messages = [{'role': 'user', 'content': PROMPT}]
    body = {'model': MODEL, 'messages': messages}
    status, response = await post(session, '/v1/chat/completions', body)
    assert status == 200
    assert response['object'] == 'chat.completion'
    assert response['choices'][0]['message']['role'] == 'assistant'


async def test_stream_ends_with_the_done_marker(
    session: aiohttp.ClientSession,
) -> None:
    body = {'model': MODEL, 'prompt': PROMPT, 'stream': True}
    headers = {'Authorization': f'Bearer {READER_KEY}'}
    async with session.post(
        '/v1/completions', json=body, headers=headers
    ) as response:
        lines = [line async for line in response.content if line.strip()]
    assert lines[-1] == b'data: [DONE]\n'
    assert len(lines) > 1


async def test_interrupted_engine_stream_is_resumed(
    deployment: Deployment,
    session: aiohttp.ClientSession,
) -> None:
    # An engine closes the connection in the middle of a response. Unless the
    # request is resumed, the caller takes half a text for a complete one.
    for engine in deployment.engines:
        engine.faults.break_after = 2
    body = {'model': MODEL, 'prompt': PROMPT, 'max_tokens': 40}
    status, response = await post(session, '/v1/completions', body)
    assert status == 200
    assert response['choices'][0]['text'] == build_expected_text(40)


async def test_service_sees_no_key(
    deployment: Deployment,
    session: aiohttp.ClientSession,
) -> None:
    # A key that reaches a service appears in its logs, and anyone who reads
    # them can impersonate the caller.
    path = f'/services/{SERVICE}/shelves/7?reading=night'
    headers = {
        'Authorization': f'Bearer {READER_KEY}',
        'Connection': 'X-Hop',
        'X-Hop': READER_KEY,
        'X-Kept': 'kept',
    }
    async with session.post(path, data=b'verse', headers=headers) as response:
        assert response.status == 200
        assert await response.read() == b'verse'
    (call,) = deployment.services[0].record.calls
    assert call.query == 'reading=night'
    assert call.headers['x-kept'] == 'kept'
    seen = repr(call)
    assert not any(secret in seen for secret in SECRETS)


async def test_engine_sees_no_key(
    deployment: Deployment,
    session: aiohttp.ClientSession,
) -> None:
    # An engine's operator who finds a caller's key in a captured request
    # could use it on every other engine.
    await post(session, '/v1/completions', {'model': MODEL, 'prompt': PROMPT})
    records = [engine.record for engine in deployment.engines]
    seen = repr([(record.bodies, record.headers) for record in records])
    assert PROMPT in seen
    assert not any(secret in seen for secret in SECRETS)


async def test_step_delivers_every_sample_once(
    session: aiohttp.ClientSession,
) -> None:
    body = {
        'trainer': TRAINER,
        'step': 4,
        'prompts': ['first', 'second'],
        'samples_per_group': 3,
        'weight_version': 1,
    }
    status, _ = await post(session, '/v1/steps', body, TRAINER_KEY)
    assert status == 200
    samples = await read_step(session, 4)
    found = sorted((sample['group'], sample['index']) for sample in samples)
    assert found == [(group, index) for group in (0, 1) for index in range(3)]
    assert all(sample['versions'] for sample in samples)


async def read_step(
    session: aiohttp.ClientSession,
    step: int,
) -> list[dict[str, Any]]:
    """Read batches until the step is complete."""
    headers = {'Authorization': f'Bearer {TRAINER_KEY}'}
    samples: list[dict[str, Any]] = []
    cursor = 0
    whole = False
    while not whole:
        path = f'/v1/steps/{TRAINER}/{step}/samples?cursor={cursor}'
        async with session.get(path, headers=headers) as response:
            assert response.status == 200
            batches = (await response.json())['batches']
        for batch in batches:
            samples.extend(batch['samples'])
            cursor = batch['position'] + 1
            whole = batch['whole']
    return samples


@pytest.mark.parametrize(
    ('path', 'body', 'key', 'status', 'code'),
    [
        ('/v1/completions', {}, READER_KEY, 400, 'invalid_body'),
        ('/v1/completions', {}, 'reader.wrong', 401, 'unauthenticated'),
        ('/v1/completions', {}, '', 401, 'unauthenticated'),
        (
            '/v1/completions',
            {'model': 'prose', 'prompt': 'a'},
            READER_KEY,
            404,
            'unknown_model',
        ),
        ('/services/none/a', {}, READER_KEY, 404, 'unknown_service'),
        ('/nowhere', {}, READER_KEY, 404, 'not_found'),
    ],
)
async def test_invalid_request_is_refused_with_its_code(
    session: aiohttp.ClientSession,
    path: str,
    body: Any,
    key: str,
    status: int,
    code: str,
) -> None:
    # Guards against unclear errors: the response to an invalid request names
    # the fault and states that nothing ran.
    found, response = await post(session, path, body, key)
    assert found == status
    assert response['error']['code'] == code
    assert response['error']['not_run'] is True
    assert response['error']['request_id']
