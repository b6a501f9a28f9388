"""Log lines of daemons must not contain keys, prompts or bodies."""

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
    """Log to standard output, whatever another test configured."""
    structlog.reset_defaults()


async def send_varied_calls(cluster: RolloutCluster) -> None:
    """Send calls that are served, refused, malformed or broken off."""
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
    """Run a batch whose items contain the planted prompt.

    :returns: the texts generated for them.
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
    """Write malformed rows, as other writers may."""
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
    # Guards against secrets in log lines, which are collected and read by many
    # people: a logged key would have to be withdrawn, and a logged prompt
    # can't be.
    await send_varied_calls(cluster)
    texts = await run_batch(cluster)
    await write_malformed_rows(cluster)
    lines = capsys.readouterr().out
    assert 'Request refused.' in lines
    assert 'Item is done.' in lines
    assert 'malformed' in lines
    encoded = base64.b64encode(PLANTED.encode()).decode()
    for secret in (PLANTED, encoded, WRONG_KEY, documents.KEY, *texts):
        assert secret not in lines, secret


async def test_disconnects_and_a_stop_log_no_library_traceback(
    cluster: RolloutCluster,
    capsys: pytest.CaptureFixture[str],
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against tracebacks that a library logs when a caller disconnects
    # during its request or the daemon stops: they would look like a failure
    # and clutter searches of the log.
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
