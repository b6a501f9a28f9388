"""Faulty callers: each gets a clear error and leaves no slot held."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest
import pytest_asyncio
from structlog.testing import capture_logs

from quetzalcourse.standins.deployment import (
    MODEL,
    READER_KEY,
    SERVICE,
    Deployment,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PROMPT = 'a prompt that nobody else may read'
SECRET = READER_KEY.partition('.')[2]
KEY = f'Authorization: Bearer {READER_KEY}'
COMPLETIONS = '/v1/completions'
CALL = f'/services/{SERVICE}/shelves'
TIMEOUT_SECONDS = 0.2
BODY_LIMIT = 4000
MAX_POLLS = 400
LONG_SEED = 2
LIMITS = {
    'body_bytes': BODY_LIMIT,
    'service_body_bytes': BODY_LIMIT,
    'sender_seconds': TIMEOUT_SECONDS,
    'reader_seconds': TIMEOUT_SECONDS,
}


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Start a deployment with low body limits and timeouts."""
    running = Deployment(engine_count=1, limits=LIMITS)
    await running.on_start()
    yield running
    await running.on_stop()


async def exchange(deployment: Deployment, *lines: str, body: str = '') -> str:
    """Send a raw request and read until the connection closes."""
    reader, writer = await connect(deployment)
    head = '\r\n'.join((*lines, 'Host: x', 'Connection: close', '', ''))
    writer.write((head + body).encode())
    response = await asyncio.wait_for(reader.read(), 20)
    writer.close()
    return response.decode()


async def connect(
    deployment: Deployment,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to the daemon."""
    host, _, port = deployment.daemon.address.partition(':')
    return await asyncio.open_connection(host, int(port), limit=1024)


def read_error(response: str) -> dict[str, Any]:
    """Parse the error object of a refused request."""
    head, _, body = response.partition('\r\n\r\n')
    assert 'x-request-id: ' in head.lower()
    error: dict[str, Any] = json.loads(body)['error']
    assert error['request_id'] in head
    return error


async def wait_until_idle(deployment: Deployment) -> None:
    """Wait until no request is in flight and no slot is held."""
    daemon = deployment.daemon
    for _ in range(MAX_POLLS):
        held = [
            daemon.admission.running(name)
            for name in daemon.manifest.current.upstreams
        ]
        engine = deployment.engines[0].report_load().running
        if not any((daemon.activity.serving, engine, *held)):
            return
        await asyncio.sleep(0.01)
    raise AssertionError((daemon.activity.serving, engine, held))


def write_body(**changes: Any) -> str:
    """Encode the body of a completion request."""
    return json.dumps({'model': MODEL, 'prompt': PROMPT} | changes)


@pytest.mark.parametrize(
    ('path', 'headers', 'body', 'status', 'code'),
    [
        (COMPLETIONS, [KEY], write_body(max_tokens=0), 400, 'invalid_body'),
        (
            COMPLETIONS,
            [KEY],
            write_body(timeout_seconds=-1),
            400,
            'invalid_body',
        ),
        (COMPLETIONS, [KEY], '{"model": "verse"', 400, 'invalid_body'),
        (COMPLETIONS, [KEY], write_body(model='prose'), 404, 'unknown_model'),
        (COMPLETIONS, [], write_body(), 401, 'unauthenticated'),
        (COMPLETIONS, [KEY], 'x' * 5000, 413, 'body_too_large'),
        (CALL, [KEY], 'x' * 5000, 413, 'body_too_large'),
        (CALL, [], 'x', 401, 'unauthenticated'),
        (CALL, [KEY, 'X-Timeout-Seconds: soon'], 'x', 400, 'invalid_body'),
        ('/services/none/a', [KEY], 'x', 404, 'unknown_service'),
    ],
)
async def test_invalid_request_is_refused_with_its_fault(
    deployment: Deployment,
    path: str,
    headers: list[str],
    body: str,
    status: int,
    code: str,
) -> None:
    # Guards against unclear errors: the response to an invalid request names
    # the fault and states that nothing ran.
    response = await exchange(
        deployment,
        f'POST {path} HTTP/1.1',
        *headers,
        f'Content-Length: {len(body)}',
        body=body,
    )
    assert response.startswith(f'HTTP/1.1 {status} ')
    error = read_error(response)
    assert (error['code'], error['not_run']) == (code, True)
    assert not deployment.services[0].record.calls
    await wait_until_idle(deployment)


@pytest.mark.parametrize(
    ('path', 'framing', 'body', 'not_run'),
    [
        (COMPLETIONS, 'Content-Length: 90', '{"model"', True),
        (CALL, 'Content-Length: 90', 'half', True),
        ('/v1/steps', 'Content-Length: 90', '{"trainer"', True),
        (CALL, 'Transfer-Encoding: chunked', '4\r\nhalf\r\n', False),
    ],
)
async def test_stalled_request_body_gets_408(
    deployment: Deployment,
    path: str,
    framing: str,
    body: str,
    not_run: bool,
) -> None:
    # A caller's network stalls during the request body. Without a timeout, a
    # few such callers would hold every slot of a service.
    response = await exchange(
        deployment, f'POST {path} HTTP/1.1', KEY, framing, body=body
    )
    assert response.startswith('HTTP/1.1 408 ')
    error = read_error(response)
    assert (error['code'], error['not_run']) == ('body_timeout', not_run)
    await wait_until_idle(deployment)


async def test_oversized_chunked_body_is_refused(
    deployment: Deployment,
) -> None:
    # The size of a chunked body is known only as it arrives. Forwarded
    # without a limit, it could fill the memory of a service.
    piece = f'{2000:x}\r\n{"x" * 2000}\r\n'
    response = await exchange(
        deployment,
        f'POST {CALL} HTTP/1.1',
        KEY,
        'Transfer-Encoding: chunked',
        body=f'{piece * 3}0\r\n\r\n',
    )
    error = read_error(response)
    assert (error['code'], error['not_run']) == ('body_too_large', False)
    assert not deployment.services[0].record.calls
    await wait_until_idle(deployment)


@pytest.mark.parametrize('disconnect', ['close', 'half-close', 'stop reading'])
async def test_disconnected_caller_frees_its_slot(
    deployment: Deployment, disconnect: str
) -> None:
    # A caller disconnects or stops reading in the middle of a long stream. An
    # engine that kept generating would hold a slot that others need.
    engine = deployment.engines[0]
    reader, writer = await connect(deployment)
    transport = writer.transport
    if disconnect == 'stop reading':
        engine.faults.padding = 200_000
    body = write_body(max_tokens=2000, stream=True, seed=LONG_SEED)
    head = f'POST {COMPLETIONS} HTTP/1.1\r\nHost: x\r\n{KEY}\r\n'
    writer.write(f'{head}Content-Length: {len(body)}\r\n\r\n{body}'.encode())
    await reader.readline()
    if disconnect == 'close':
        transport.abort()
    elif disconnect == 'half-close':
        writer.write_eof()
    else:
        transport.pause_reading()  # type: ignore[attr-defined]
    await wait_until_idle(deployment)
    assert engine.record.cancelled
    assert not engine.record.completed
    transport.abort()


@pytest.mark.parametrize(('sent', 'ran'), [(True, True), (False, False)])
async def test_half_closed_caller_gets_409(
    deployment: Deployment,
    sent: bool,
    ran: bool,
) -> None:
    # A caller closes its sending side, after or during its request, and waits
    # for the response. It must get an error that states why there is none,
    # and its request must release everything.
    deployment.engines[0].faults.stall = True
    reader, writer = await connect(deployment)
    body = write_body(max_tokens=2000, seed=LONG_SEED)
    head = f'POST {COMPLETIONS} HTTP/1.1\r\nHost: x\r\n{KEY}\r\n'
    content = body if sent else body[:9]
    request = f'{head}Content-Length: {len(body)}\r\n\r\n{content}'
    writer.write(request.encode())
    while bool(deployment.daemon.admission.running('engine-0')) != ran:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    writer.write_eof()
    response = (await asyncio.wait_for(reader.read(), 20)).decode()
    writer.close()
    assert response.startswith('HTTP/1.1 409 ')
    error = read_error(response)
    assert (error['code'], error['not_run']) == ('cancelled', False)
    deployment.engines[0].faults.stall = False
    await wait_until_idle(deployment)


@pytest.mark.parametrize(
    ('method', 'status', 'body'),
    [('HEAD', 200, ''), ('OPTIONS', 200, 'OPTIONS shelves')],
)
async def test_head_and_options_are_proxied(
    deployment: Deployment,
    method: str,
    status: int,
    body: str,
) -> None:
    response = await exchange(deployment, f'{method} {CALL} HTTP/1.1', KEY)
    assert response.startswith(f'HTTP/1.1 {status} ')
    assert response.partition('\r\n\r\n')[2] == body
    assert f'content-length: {len(f"{method} shelves")}' in response.lower()
    assert deployment.services[0].record.calls[0].method == method


async def test_chunks_are_streamed_in_both_directions(
    deployment: Deployment,
) -> None:
    # A service may respond before it has the whole request. Buffering the
    # bodies would deadlock both sides.
    reader, writer = await connect(deployment)
    path = f'/services/{SERVICE}/echo/verses'
    head = f'POST {path} HTTP/1.1\r\nHost: x\r\n{KEY}\r\n'
    writer.write(f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode())
    for piece in (b'first', b'second'):
        writer.write(b'%x\r\n%b\r\n' % (len(piece), piece))
        await asyncio.wait_for(reader.readuntil(piece), 20)
    writer.write(b'0\r\n\r\n')
    await asyncio.wait_for(reader.readuntil(b'0\r\n\r\n'), 20)
    writer.close()


async def test_credentials_are_removed_before_the_upstream(
    deployment: Deployment,
) -> None:
    # A key may appear in the query or in any header. Forwarded, it would
    # appear in the logs of a service, and anyone who reads them could use it.
    await exchange(
        deployment,
        f'GET {CALL}?api_key={READER_KEY}&page=2&x=a%2D{SECRET} HTTP/1.1',
        KEY,
        'Cookie: session=7',
        f'X-Anything: {SECRET}',
        'Keep-Alive: 5',
        'TE: trailers',
        'Proxy-Authorization: Basic abc',
        'X-Kept: kept',
    )
    (call,) = deployment.services[0].record.calls
    assert call.query == 'page=2'
    assert call.headers['x-kept'] == 'kept'
    assert SECRET not in repr(call)
    dropped = {'cookie', 'keep-alive', 'te', 'proxy-authorization'}
    assert not dropped & call.headers.keys()


async def test_logs_contain_no_prompt_and_no_key(
    deployment: Deployment,
    caplog: pytest.LogCaptureFixture,
    capfd: pytest.CaptureFixture[str],
) -> None:
    # Logs must contain neither prompts nor keys, also when requests fail.
    caplog.set_level('DEBUG')
    deployment.engines[0].faults.break_after = 1
    headers = {'Authorization': f'Bearer {READER_KEY}'}
    with capture_logs() as logged:
        async with aiohttp.ClientSession(headers=headers) as session:
            for body in (write_body(), write_body(max_tokens=0), f'"{PROMPT}'):
                url = f'{deployment.url}{COMPLETIONS}'
                async with session.post(url, data=body) as response:
                    await response.read()
        deployment.daemon.generation.run = None  # type: ignore[assignment]
        answer_text = await exchange(
            deployment,
            f'POST {COMPLETIONS} HTTP/1.1',
            KEY,
            f'Content-Length: {len(write_body())}',
            body=write_body(),
        )
    assert read_error(answer_text)['code'] == 'internal'
    assert any(entry['event'] == 'Request failed.' for entry in logged)
    seen = f'{logged}{caplog.text}{capfd.readouterr()}'
    assert PROMPT not in seen
    assert SECRET not in seen
