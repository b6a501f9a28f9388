"""One request of each kind goes the whole way through real sockets."""

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


def expect_text(max_tokens: int) -> str:
    """Say what the stand-in engine generates for the prompt."""
    length = plan_length(PROMPT, 0, max_tokens)
    tokens = [make_token(PROMPT, 0, offset) for offset in range(length)]
    return ''.join(tokens)


async def post(
    session: aiohttp.ClientSession,
    path: str,
    body: Any,
    key: str = READER_KEY,
) -> tuple[int, Any]:
    """Send JSON and read JSON."""
    headers = {'Authorization': f'Bearer {key}'}
    async with session.post(path, json=body, headers=headers) as answer:
        return answer.status, await answer.json()


async def test_completion_is_whole(session: aiohttp.ClientSession) -> None:
    body = {'model': MODEL, 'prompt': PROMPT, 'max_tokens': 40}
    status, answer = await post(session, '/v1/completions', body)
    assert status == 200
    assert answer['object'] == 'text_completion'
    assert answer['choices'][0]['text'] == expect_text(40)
    assert answer['weight_versions'] == [1]


async def test_chat_is_whole(session: aiohttp.ClientSession) -> None:
    messages = [{'role': 'user', 'content': PROMPT}]
    body = {'model': MODEL, 'messages': messages}
    status, answer = await post(session, '/v1/chat/completions', body)
    assert status == 200
    assert answer['object'] == 'chat.completion'
    assert answer['choices'][0]['message']['role'] == 'assistant'


async def test_stream_ends_with_marker(session: aiohttp.ClientSession) -> None:
    body = {'model': MODEL, 'prompt': PROMPT, 'stream': True}
    headers = {'Authorization': f'Bearer {READER_KEY}'}
    async with session.post(
        '/v1/completions', json=body, headers=headers
    ) as answer:
        lines = [line async for line in answer.content if line.strip()]
    assert lines[-1] == b'data: [DONE]\n'
    assert len(lines) > 1


async def test_broken_stream_is_resumed(
    deployment: Deployment,
    session: aiohttp.ClientSession,
) -> None:
    # An engine cuts the connection in the middle of an answer. A caller
    # whose stream was not resumed would read half a poem as a whole one.
    for engine in deployment.engines:
        engine.faults.break_after = 2
    body = {'model': MODEL, 'prompt': PROMPT, 'max_tokens': 40}
    status, answer = await post(session, '/v1/completions', body)
    assert status == 200
    assert answer['choices'][0]['text'] == expect_text(40)


async def test_service_sees_no_key(
    deployment: Deployment,
    session: aiohttp.ClientSession,
) -> None:
    # A caller's key that reaches a service ends up in its logs, and whoever
    # reads them can ask in the caller's name.
    path = f'/services/{SERVICE}/shelves/7?reading=night'
    headers = {
        'Authorization': f'Bearer {READER_KEY}',
        'Connection': 'X-Hop',
        'X-Hop': READER_KEY,
        'X-Kept': 'kept',
    }
    async with session.post(path, data=b'verse', headers=headers) as answer:
        assert answer.status == 200
        assert await answer.read() == b'verse'
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
    # could use it against every other engine.
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
    """Read batches until the step is whole."""
    headers = {'Authorization': f'Bearer {TRAINER_KEY}'}
    samples: list[dict[str, Any]] = []
    cursor = 0
    whole = False
    while not whole:
        path = f'/v1/steps/{TRAINER}/{step}/samples?cursor={cursor}'
        async with session.get(path, headers=headers) as answer:
            assert answer.status == 200
            batches = (await answer.json())['batches']
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
async def test_refusal_is_clear(
    session: aiohttp.ClientSession,
    path: str,
    body: Any,
    key: str,
    status: int,
    code: str,
) -> None:
    # A caller sends something that can't be served, and must learn what is
    # wrong and that nothing ran.
    found, answer = await post(session, path, body, key)
    assert found == status
    assert answer['error']['code'] == code
    assert answer['error']['not_run'] is True
    assert answer['error']['request_id']
