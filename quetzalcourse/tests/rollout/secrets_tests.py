"""Log lines of daemons while callers plant what must not be in them."""

from __future__ import annotations

import asyncio
import base64
import logging
from typing import TYPE_CHECKING

import aiohttp
import pytest_asyncio
import structlog

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.cluster import Caller, build_batch

if TYPE_CHECKING:
    import pytest

    from quetzalcourse.standins.rollout.cluster import RolloutCluster

PLANTED = 'planted-prompt-of-a-caller'
WRONG_KEY = 'planted-key-that-is-unknown'
LOOKUP = documents.LOOKUP_PREFIX
ONCE = documents.NON_IDEMPOTENT_PREFIX


@pytest_asyncio.fixture(autouse=True)
async def plain_lines() -> None:
    """Let lines go to standard output, whatever another test set up."""
    structlog.reset_defaults()


async def call_in_every_way(cluster: RolloutCluster) -> None:
    """Send what is served, refused, malformed and broken off."""
    address = cluster.address()
    body = PLANTED.encode()
    for path in (LOOKUP, ONCE, '/nowhere/'):
        await cluster.caller.call(address, 'POST', path, body)
    await Caller(WRONG_KEY).call(address, 'POST', LOOKUP, body)
    await cluster.caller.submit(address, 'b-bad', {'requests': [PLANTED]})
    await cluster.caller.call(
        address,
        'POST',
        f'{documents.BATCH_PREFIX}b-worse',
        b'{"requests": "' + body,
        request_id='b-worse',
    )
    for server in cluster.services:
        server.faults.lost_answers = 2
        server.faults.failed_answers = 2
    for _ in range(4):
        await cluster.caller.call(address, 'POST', LOOKUP, body)


async def run_batch(cluster: RolloutCluster) -> list[str]:
    """Run a batch whose items hold what is planted.

    :returns: the texts that were made of them.
    """
    batch = build_batch(['i-1', 'i-2'])
    for item in batch['requests']:
        item['body'] = base64.b64encode(PLANTED.encode()).decode()
    cluster.engines[0].faults.cut_after = 2
    cluster.engines[0].faults.stream_cuts = 1
    await cluster.caller.submit(cluster.address(), 'b-1', batch)
    results = await cluster.caller.read_all(cluster.address(), 'b-1')
    return [result['text'] for result in results]


async def write_malformed_rows(cluster: RolloutCluster) -> None:
    """Write rows that can't be read, as other writers may."""
    config = documents.build_config(2)
    config['tenants'][0]['api_keys'] = [{'key': PLANTED}]
    await cluster.store.write('op', 'config', config)
    await cluster.store.write('op', 'version/x', PLANTED.encode())
    await cluster.store.write('servers', 's-x', {'service': [PLANTED]})
    await cluster.store.write('members', 'vm-x', PLANTED.encode())
    await asyncio.sleep(0.8)


async def test_no_line_holds_a_key_a_prompt_or_a_body(
    cluster: RolloutCluster,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Lines of the daemons are collected and read by many people. A key in
    # one of them would have to be withdrawn, and a prompt can't be.
    await call_in_every_way(cluster)
    texts = await run_batch(cluster)
    await write_malformed_rows(cluster)
    lines = capsys.readouterr().out
    assert 'Request refused.' in lines
    assert 'Item is done.' in lines
    assert 'malformed' in lines
    encoded = base64.b64encode(PLANTED.encode()).decode()
    for secret in (PLANTED, encoded, WRONG_KEY, documents.KEY, *texts):
        assert secret not in lines, secret


async def test_leaving_callers_and_a_stop_leave_no_trace_of_a_library(
    cluster: RolloutCluster,
    capsys: pytest.CaptureFixture[str],
    caplog: pytest.LogCaptureFixture,
) -> None:
    # A caller leaves while its request runs, and its daemon stops. A report
    # of a library in between would say that something broke, and its trace
    # would hide lines from whoever searches them.
    for server in cluster.services:
        server.faults.slowdown = 30
    asking = asyncio.ensure_future(
        cluster.caller.call(
            cluster.address(), 'POST', LOOKUP, b'x', seconds=0.3
        )
    )
    await asyncio.gather(asking, return_exceptions=True)
    assert isinstance(asking.exception(), TimeoutError | aiohttp.ClientError)
    asyncio.ensure_future(
        cluster.caller.call(cluster.address(), 'POST', LOOKUP, b'x', seconds=2)
    ).add_done_callback(asyncio.Future.exception)
    await asyncio.sleep(0.2)
    await cluster.end_daemon(cluster.daemons[0])
    captured = capsys.readouterr()
    assert 'Traceback' not in captured.out + captured.err
    assert captured.err == ''
    assert not [one for one in caplog.records if one.levelno >= logging.WARNING]
