"""Requests that end the upstreams which run them, through real daemons."""

from __future__ import annotations

import argparse
import asyncio
import json
from collections import Counter
from typing import TYPE_CHECKING

import aiohttp
import pytest

from quetzalcourse.commands import quarantine
from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.upstream import RESTART_SECONDS
from quetzalcourse.standins.rollout.world import Caller, build_batch
from quetzalcourse.tests.printed import read_document
from quetzalcourse.tests.rollout.calls import LOOKUP, await_acquaintance

if TYPE_CHECKING:
    from pathlib import Path

    from quetzalcourse.standins.rollout.upstream import UpstreamStandin
    from quetzalcourse.standins.rollout.world import Reply, RolloutWorld

POISON = b'poison'
MAX_CRASHES = 3
RETURNS = 5
NOTICED_SECONDS = 0.3
STREAM_HEADERS = {'X-Model': documents.MODEL, 'X-Token-Counts': '8,8'}


def poison(
    servers: list[UpstreamStandin], body: bytes, events: int = 0
) -> None:
    """Let a body end each server that runs it."""
    for server in servers:
        server.faults.poison = body
        server.faults.poison_events = events


def count_ends(servers: list[UpstreamStandin]) -> int:
    """Count how often servers ended under a request."""
    return sum(len(server.crashes) for server in servers)


async def await_return() -> None:
    """Wait until servers that ended are back and known."""
    await asyncio.sleep(RESTART_SECONDS + NOTICED_SECONDS)


async def ask(
    world: RolloutWorld, path: str, number: int, body: bytes = POISON
) -> Reply | None:
    """Ask by one daemon after the other, ``None`` if the channel broke."""
    headers = {}
    if path in {documents.STREAM_PREFIX, documents.BOUND_PREFIX}:
        headers = STREAM_HEADERS
    try:
        return await world.caller.call(
            world.address(number % len(world.daemons)),
            'POST',
            path,
            body,
            headers=headers,
            request_id=f'p-{number}',
        )
    except aiohttp.ClientError:
        return None


@pytest.mark.parametrize(
    ('path', 'events'),
    [
        (LOOKUP, 0),
        (documents.ONCE_PREFIX, 0),
        (documents.STREAM_PREFIX, 0),
        (documents.STREAM_PREFIX, 2),
        (documents.BOUND_PREFIX, 2),
    ],
)
async def test_request_that_ends_upstreams_stops_reaching_them(
    pair: RolloutWorld,
    path: str,
    events: int,
) -> None:
    """Guards against a request that ends all upstreams over and over."""
    servers = [*pair.services, *pair.engines]
    poison(servers, POISON, events)
    await await_acquaintance(pair)
    for number in range(RETURNS):
        await ask(pair, path, number)
        await await_return()
    assert count_ends(servers) <= MAX_CRASHES
    assert (await ask(pair, path, 0, b'salt')).status == 200  # type: ignore


async def test_item_that_ends_upstreams_stops_reaching_them(
    pair: RolloutWorld,
) -> None:
    """Guards against an item that ends engines until its batch is over."""
    poison(pair.engines, b'body of bad')
    await await_acquaintance(pair)
    batch = build_batch(['good', 'bad', 'fair'])
    assert (
        await pair.caller.submit(pair.address(), 'b-1', batch)
    ).status == 202
    await asyncio.sleep(2 * MAX_CRASHES * (RESTART_SECONDS + NOTICED_SECONDS))
    assert count_ends(pair.engines) <= MAX_CRASHES
    reply = await pair.caller.read(pair.address(1), 'b-1')
    assert {result['id'] for result in reply.read()['results']} == {
        'good',
        'fair',
    }


async def test_scoring_call_that_ends_upstreams_stops_reaching_them(
    pair: RolloutWorld,
) -> None:
    """Guards against a scoring call that ends the service of humans."""
    poison(pair.services, b'text of bad')
    await await_acquaintance(pair)
    batch = build_batch(['good', 'bad'], scored=True)
    assert (
        await pair.caller.submit(pair.address(), 'b-1', batch)
    ).status == 202
    await asyncio.sleep(2 * MAX_CRASHES * (RESTART_SECONDS + NOTICED_SECONDS))
    assert count_ends(pair.services) <= MAX_CRASHES
    assert (await ask(pair, LOOKUP, 0, b'salt')).status == 200  # type: ignore


async def quarantine_lookup(world: RolloutWorld) -> None:
    """Let upstreams end under a lookup until it is quarantined."""
    poison(world.services, POISON)
    await await_acquaintance(world)
    for number in range(2):
        await ask(world, LOOKUP, number)
        await await_return()
    assert count_ends(world.services) == MAX_CRASHES


async def test_quarantined_request_is_refused_at_once(
    pair: RolloutWorld,
) -> None:
    """Guards against a caller that is not told when to come back."""
    await quarantine_lookup(pair)
    for number in range(2):
        reply = await ask(pair, LOOKUP, number)
        assert reply is not None
        assert reply.status == 503
        assert float(reply.headers['Retry-After']) > 60
        assert reply.read()['error']['code'] == 'quarantined'
    other = Caller(documents.OTHER_KEY)
    poison(pair.services, b'')
    answer = await other.call(pair.address(), 'POST', LOOKUP, POISON)
    assert answer.status == 200


async def test_quarantine_outlives_all_daemons(pair: RolloutWorld) -> None:
    """Guards against upstreams that end again after each restart."""
    await quarantine_lookup(pair)
    for daemon in tuple(pair.daemons):
        await pair.end_daemon(daemon)
    pair.daemons.clear()
    await pair.add_daemon('vm-8')
    await asyncio.sleep(NOTICED_SECONDS)
    reply = await ask(pair, LOOKUP, 0)
    assert reply is not None
    assert reply.status == 503


async def test_operator_lifts_a_quarantine(
    pair: RolloutWorld,
    tmp_path: Path,
    capsys: pytest.CaptureFixture,
) -> None:
    """Guards against a request that stays refused once its cause is mended."""
    await quarantine_lookup(pair)
    poison(pair.services, b'')
    path = tmp_path / 'settings.json'
    path.write_text(
        json.dumps(
            documents.build_settings('desk', pair.doors[0].server.address, '')
        )
    )
    options = argparse.Namespace(platform_settings=path, json=True)
    capsys.readouterr()
    assert await quarantine.run_action(quarantine.list_requests, options) == 0
    (listed,) = read_document(capsys)['quarantined']
    assert set(listed['upstreams']) == {'s-0', 's-1'}
    options.fingerprint = listed['fingerprint']
    assert await quarantine.run_action(quarantine.lift_request, options) == 0
    await asyncio.sleep(NOTICED_SECONDS)
    assert await quarantine.run_action(quarantine.lift_request, options) == 1
    for number in range(2):
        reply = await ask(pair, LOOKUP, number)
        assert reply is not None
        assert reply.status == 200


async def test_bystanders_of_such_a_request_are_served(
    pair: RolloutWorld,
) -> None:
    """Guards against blame for requests that ran on the same upstreams."""
    await await_acquaintance(pair)
    poison(pair.services, POISON)
    bodies = [f'salt {number}'.encode() for number in range(6)]
    for number in range(2):
        for server in pair.services:
            server.faults.slow = 20
        asking = [
            asyncio.ensure_future(ask(pair, LOOKUP, one, body))
            for one, body in enumerate(bodies)
        ]
        await asyncio.sleep(NOTICED_SECONDS / 6)
        await ask(pair, LOOKUP, number)
        await asyncio.gather(*asking)
        await await_return()
    assert 2 <= count_ends(pair.services) <= MAX_CRASHES
    runs = [run for server in pair.services for run in server.runs]
    struck = Counter(run.body for run in runs if run.body in bodies)
    assert max(struck.values()) >= 2
    for server in pair.services:
        server.faults.slow = 1
    for one, body in enumerate(bodies):
        reply = await ask(pair, LOOKUP, one, body)
        assert reply is not None
        assert reply.status == 200


async def test_servers_that_end_by_themselves_blame_no_request(
    pair: RolloutWorld,
) -> None:
    """Guards against blame for a popular request when servers are killed."""
    await await_acquaintance(pair)
    for server in pair.services:
        server.faults.slow = 10
    for _ in range(MAX_CRASHES):
        asking = [
            asyncio.ensure_future(ask(pair, LOOKUP, number, b'popular'))
            for number in range(4)
        ]
        await asyncio.sleep(0.03)
        await asyncio.gather(*(server.crash() for server in pair.services))
        await asyncio.gather(*asking)
        await asyncio.sleep(NOTICED_SECONDS)
        reply = await ask(pair, LOOKUP, 0, b'popular')
        assert reply is not None
        assert reply.status == 200
