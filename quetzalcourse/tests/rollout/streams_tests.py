"""Event streams through a daemon, complete and interrupted."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import pytest

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.upstream import count_events, write_event

if TYPE_CHECKING:
    from quetzalcourse.standins.rollout.cluster import Reply, RolloutCluster

STREAM = documents.STREAM_PREFIX
BOUND = documents.NON_RESUMABLE_PREFIX
LONG = next(
    name
    for name in (f's-{number}' for number in range(100))
    if count_events(name) == 12
)


def write_stream(request_id: str, after: int = 0) -> bytes:
    """Build the events of a stream behind an event."""
    return ''.join(
        f'id: {number}\ndata: {write_event(request_id, number)}\n\n'
        for number in range(after + 1, count_events(request_id) + 1)
    ).encode()


async def stream(
    cluster: RolloutCluster, prefix: str, after: str = ''
) -> Reply:
    """Request a long stream."""
    headers = {'X-Model': documents.MODEL, 'X-Token-Counts': '8,8'}
    if after:
        headers['Last-Event-Id'] = after
    return await cluster.caller.call(
        cluster.address(),
        'POST',
        prefix,
        b'salt',
        headers=headers,
        request_id=LONG,
    )


@pytest.mark.parametrize('prefix', [STREAM, BOUND])
async def test_stream_is_passed_on_whole(
    cluster: RolloutCluster,
    prefix: str,
) -> None:
    """Guards against missing events or missing headers of the server."""
    reply = await stream(cluster, prefix)
    assert reply.body == write_stream(LONG)
    assert reply.headers['X-Weight-Versions'] == '1'


async def test_caller_resumes_its_stream(cluster: RolloutCluster) -> None:
    """Guards against a resumption that ignores the last event id."""
    reply = await stream(cluster, STREAM, after='5')
    assert reply.body == write_stream(LONG, 5)


async def test_interrupted_stream_is_resumed_within_one_answer(
    cluster: RolloutCluster,
) -> None:
    # Guards against missing or repeated events when a server aborts a
    # resumable stream; the caller sees no more than a pause.
    for engine in cluster.engines:
        engine.faults.stream_cuts, engine.faults.cut_after = 1, 4
    cluster.engines[1].faults.cut_after = 9
    reply = await stream(cluster, STREAM)
    assert reply.body == write_stream(LONG)


async def test_interrupted_stream_never_looks_complete(
    cluster: RolloutCluster,
) -> None:
    # Guards against a normal end of the answer when a server aborts a stream
    # that must not be resumed: the caller would lose the rest unnoticed.
    for engine in cluster.engines:
        engine.faults.stream_cuts, engine.faults.cut_after = 1, 4
    with pytest.raises(aiohttp.ClientError):
        await stream(cluster, BOUND)
    assert sum(len(engine.runs) for engine in cluster.engines) == 1
