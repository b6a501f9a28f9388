"""Quarantine of requests that crash upstreams, with real daemons."""

from __future__ import annotations

import argparse
import asyncio
import json
import math
from collections import Counter
from typing import TYPE_CHECKING

import aiohttp
import pytest

from quetzalcourse.commands import quarantine
from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.upstream import RESTART_SECONDS
from quetzalcourse.standins.rollout.cluster import Caller, build_batch
from quetzalcourse.tests.command_output import read_document
from quetzalcourse.tests.rollout.calls import LOOKUP, await_membership

if TYPE_CHECKING:
    from quetzalcourse.tests.running_time import RunningTime
    from pathlib import Path

    from quetzalcourse.standins.rollout.upstream import UpstreamStandin
    from quetzalcourse.standins.rollout.cluster import Reply, RolloutCluster

POISON = b'poison'
MAX_CRASHES = 3
SUBMISSIONS = 5
NOTICED_SECONDS = 0.3
# Delay of an item after the first upstream crashed under it; it doubles with
# each further crash.
FIRST_DELAY_SECONDS = 0.1
ITEM_SECONDS = 2 * MAX_CRASHES * (RESTART_SECONDS + NOTICED_SECONDS)
# Long enough to tell the delay after crashes from that after any failure.
SCORING_SECONDS = 2 * ITEM_SECONDS
CRASHES_SECONDS = 12.0
# The longest delay after this many crashes, a restart and the work.
CALM_SECONDS = 8.0
STREAM_HEADERS = {'X-Model': documents.MODEL, 'X-Token-Counts': '8,8'}


def poison(
    servers: list[UpstreamStandin], body: bytes, events: int = 0
) -> None:
    """Let a body crash each server that runs it."""
    for server in servers:
        server.faults.poison = body
        server.faults.poison_events = events


def count_allowed_crashes(seconds: float) -> int:
    """Count the crashes under one item for which its delays leave time."""
    return 1 + int(math.log2(seconds / FIRST_DELAY_SECONDS + 1))


def count_crashes(servers: list[UpstreamStandin]) -> int:
    """Count how often servers crashed while running a request."""
    return sum(len(server.crashes) for server in servers)


async def await_restart(running_time: RunningTime) -> None:
    """Wait until crashed servers are back and registered."""
    await running_time.sleep(RESTART_SECONDS + NOTICED_SECONDS)


async def ask(
    cluster: RolloutCluster, path: str, number: int, body: bytes = POISON
) -> Reply | None:
    """Send by alternating daemons; ``None`` if the connection broke."""
    headers = {}
    if path in {documents.STREAM_PREFIX, documents.NON_RESUMABLE_PREFIX}:
        headers = STREAM_HEADERS
    try:
        return await cluster.caller.call(
            cluster.address(number % len(cluster.daemons)),
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
        (documents.NON_IDEMPOTENT_PREFIX, 0),
        (documents.STREAM_PREFIX, 0),
        (documents.STREAM_PREFIX, 2),
        (documents.NON_RESUMABLE_PREFIX, 2),
    ],
)
async def test_request_that_crashes_upstreams_is_sent_no_more(
    two_daemons: RolloutCluster,
    path: str,
    events: int,
    running_time: RunningTime,
) -> None:
    """Guards against a request that crashes all upstreams repeatedly."""
    servers = [*two_daemons.services, *two_daemons.engines]
    poison(servers, POISON, events)
    await await_membership(two_daemons)
    for number in range(SUBMISSIONS):
        await ask(two_daemons, path, number)
        await await_restart(running_time)
    assert count_crashes(servers) <= MAX_CRASHES
    assert (  # type: ignore
        await ask(two_daemons, path, 0, b'salt')
    ).status == 200


@pytest.mark.parametrize('crashes', [MAX_CRASHES, MAX_CRASHES + 2])
async def test_item_under_which_engines_crashed_is_completed(
    two_daemons: RolloutCluster,
    crashes: int,
) -> None:
    """Guards against an item that is never placed again after crashes."""
    poison(two_daemons.engines, b'body of unlucky')
    await await_membership(two_daemons)
    batch = build_batch(['good', 'unlucky', 'fair'])
    assert (
        await two_daemons.caller.submit(two_daemons.address(), 'b-1', batch)
    ).status == 202
    async with asyncio.timeout(CRASHES_SECONDS):
        while count_crashes(two_daemons.engines) < crashes:
            await asyncio.sleep(0.02)
    poison(two_daemons.engines, b'')
    results = await two_daemons.caller.read_all(
        two_daemons.address(1), 'b-1', CALM_SECONDS
    )
    assert {
        result['id']: result['state'] for result in results
    } == dict.fromkeys(('good', 'unlucky', 'fair'), 'completed')


async def test_item_under_which_engines_crash_waits_ever_longer(
    two_daemons: RolloutCluster,
) -> None:
    """Guards against an item that crashes engines as fast as they restart."""
    poison(two_daemons.engines, b'body of bad')
    await await_membership(two_daemons)
    batch = build_batch(['good', 'bad', 'fair'])
    assert (
        await two_daemons.caller.submit(two_daemons.address(), 'b-1', batch)
    ).status == 202
    await asyncio.sleep(ITEM_SECONDS)
    crashes = count_crashes(two_daemons.engines)
    assert crashes <= count_allowed_crashes(ITEM_SECONDS)
    reply = await two_daemons.caller.read(two_daemons.address(1), 'b-1')
    assert {result['id'] for result in reply.read()['results']} == {
        'good',
        'fair',
    }


@pytest.mark.parametrize('crashes', [MAX_CRASHES, MAX_CRASHES + 2])
async def test_scoring_call_under_which_upstreams_crashed_is_completed(
    two_daemons: RolloutCluster,
    crashes: int,
) -> None:
    """Guards against an item that is never scored after crashes."""
    poison(two_daemons.services, b'text of unlucky')
    await await_membership(two_daemons)
    batch = build_batch(['good', 'unlucky'], scored=True)
    assert (
        await two_daemons.caller.submit(two_daemons.address(), 'b-1', batch)
    ).status == 202
    async with asyncio.timeout(CRASHES_SECONDS):
        while count_crashes(two_daemons.services) < crashes:
            await asyncio.sleep(0.02)
    poison(two_daemons.services, b'')
    results = await two_daemons.caller.read_all(
        two_daemons.address(1), 'b-1', CALM_SECONDS
    )
    assert {result['state'] for result in results} == {'completed'}


async def test_scoring_call_under_which_upstreams_crash_waits_ever_longer(
    two_daemons: RolloutCluster,
) -> None:
    """Guards against a scoring call that takes a service from humans."""
    poison(two_daemons.services, b'text of bad')
    await await_membership(two_daemons)
    batch = build_batch(['good', 'bad'], scored=True)
    assert (
        await two_daemons.caller.submit(two_daemons.address(), 'b-1', batch)
    ).status == 202
    await asyncio.sleep(SCORING_SECONDS)
    crashes = count_crashes(two_daemons.services)
    assert crashes <= count_allowed_crashes(SCORING_SECONDS)
    assert (  # type: ignore
        await ask(two_daemons, LOOKUP, 0, b'salt')
    ).status == 200


async def quarantine_lookup(
    cluster: RolloutCluster, running_time: RunningTime
) -> None:
    """Let a lookup crash upstreams until it is quarantined."""
    poison(cluster.services, POISON)
    await await_membership(cluster)
    for number in range(2):
        await ask(cluster, LOOKUP, number)
        await await_restart(running_time)
    assert count_crashes(cluster.services) == MAX_CRASHES


async def test_quarantined_request_is_refused_at_once(
    two_daemons: RolloutCluster,
    running_time: RunningTime,
) -> None:
    """Guards against a caller that is not told when to retry."""
    await quarantine_lookup(two_daemons, running_time)
    for number in range(2):
        reply = await ask(two_daemons, LOOKUP, number)
        assert reply is not None
        assert reply.status == 503
        assert float(reply.headers['Retry-After']) > 60
        assert reply.read()['error']['code'] == 'quarantined'
    other = Caller(documents.OTHER_KEY)
    poison(two_daemons.services, b'')
    answer = await other.call(two_daemons.address(), 'POST', LOOKUP, POISON)
    assert answer.status == 200


async def test_quarantine_outlives_all_daemons(
    two_daemons: RolloutCluster,
    running_time: RunningTime,
) -> None:
    """Guards against upstreams that crash again after daemons restart."""
    await quarantine_lookup(two_daemons, running_time)
    for daemon in tuple(two_daemons.daemons):
        await two_daemons.end_daemon(daemon)
    two_daemons.daemons.clear()
    await two_daemons.add_daemon('vm-8')
    await running_time.sleep(NOTICED_SECONDS)
    reply = await ask(two_daemons, LOOKUP, 0)
    assert reply is not None
    assert reply.status == 503


async def test_operator_lifts_a_quarantine(
    two_daemons: RolloutCluster,
    tmp_path: Path,
    capsys: pytest.CaptureFixture,
    running_time: RunningTime,
) -> None:
    """Guards against a request that stays refused once its cause is fixed."""
    await quarantine_lookup(two_daemons, running_time)
    poison(two_daemons.services, b'')
    path = tmp_path / 'settings.json'
    path.write_text(
        json.dumps(
            documents.build_settings(
                'desk', two_daemons.store_endpoints[0].server.address, ''
            )
        )
    )
    options = argparse.Namespace(platform_settings=path, json=True)
    capsys.readouterr()
    assert await quarantine.run_action(quarantine.list_requests, options) == 0
    (listed,) = read_document(capsys)['quarantined']
    assert set(listed['upstreams']) == {'s-0', 's-1'}
    options.fingerprint = listed['fingerprint']
    assert await quarantine.run_action(quarantine.lift_request, options) == 0
    await running_time.sleep(NOTICED_SECONDS)
    assert await quarantine.run_action(quarantine.lift_request, options) == 1
    for number in range(2):
        reply = await ask(two_daemons, LOOKUP, number)
        assert reply is not None
        assert reply.status == 200


async def test_bystanders_of_a_crashing_request_are_served(
    two_daemons: RolloutCluster,
    running_time: RunningTime,
) -> None:
    """Guards against quarantine of requests that ran on the same upstreams."""
    await await_membership(two_daemons)
    poison(two_daemons.services, POISON)
    bodies = [f'salt {number}'.encode() for number in range(6)]
    for number in range(2):
        for server in two_daemons.services:
            server.faults.slowdown = 20
        asking = [
            asyncio.ensure_future(ask(two_daemons, LOOKUP, one, body))
            for one, body in enumerate(bodies)
        ]
        await asyncio.sleep(NOTICED_SECONDS / 6)
        await ask(two_daemons, LOOKUP, number)
        await asyncio.gather(*asking)
        await await_restart(running_time)
    assert 2 <= count_crashes(two_daemons.services) <= MAX_CRASHES
    runs = [run for server in two_daemons.services for run in server.runs]
    struck = Counter(run.body for run in runs if run.body in bodies)
    assert max(struck.values()) >= 2
    for server in two_daemons.services:
        server.faults.slowdown = 1
    for one, body in enumerate(bodies):
        reply = await ask(two_daemons, LOOKUP, one, body)
        assert reply is not None
        assert reply.status == 200


async def test_servers_that_crash_otherwise_quarantine_no_request(
    two_daemons: RolloutCluster,
    running_time: RunningTime,
) -> None:
    """Guards against quarantine of a popular request if servers are killed."""
    await await_membership(two_daemons)
    for server in two_daemons.services:
        server.faults.slowdown = 10
    for _ in range(MAX_CRASHES):
        asking = [
            asyncio.ensure_future(ask(two_daemons, LOOKUP, number, b'popular'))
            for number in range(4)
        ]
        await asyncio.sleep(0.03)
        await asyncio.gather(
            *(server.crash() for server in two_daemons.services)
        )
        await asyncio.gather(*asking)
        await running_time.sleep(NOTICED_SECONDS)
        reply = await ask(two_daemons, LOOKUP, 0, b'popular')
        assert reply is not None
        assert reply.status == 200
