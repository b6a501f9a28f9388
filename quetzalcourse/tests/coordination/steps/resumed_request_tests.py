"""A request that started elsewhere resumes after its last token."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import pytest_asyncio

from quetzalcourse.standins.deployment import MODEL, Deployment
from quetzalcourse.standins.tokens import make_token, plan_length
from quetzalcourse.state.generation import GenerationRequest, TrafficClass

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PROMPT = 'a long ghazal'
RECEIVED = 2


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    running = Deployment()
    await running.on_start()
    yield running
    await running.on_stop()


async def test_moved_request_resumes_after_last_token(
    deployment: Deployment,
) -> None:
    # A sample is moved off a lagging engine. If tokens were repeated or
    # omitted, the trainer would learn from a text that no weights
    # generated.
    length = plan_length(PROMPT, 0, 40)
    tokens = [make_token(PROMPT, 0, offset) for offset in range(length)]
    request = GenerationRequest(
        request_id='moved',
        client_account='trainers',
        traffic_class=TrafficClass.training,
        model=MODEL,
        prompt=PROMPT,
        max_tokens=40,
        deadline=deployment.daemon.clock.elapsed() + timedelta(seconds=9),
        received=tuple(tokens[:RECEIVED]),
        avoid=frozenset(('engine-0',)),
    )
    chunks = [
        chunk async for chunk in deployment.daemon.generation.run(request)
    ]
    assert chunks[0].offset == RECEIVED
    found = [token for chunk in chunks for token in chunk.tokens]
    assert found == tokens[RECEIVED:]
    assert {chunk.upstream for chunk in chunks} == {'engine-1'}
