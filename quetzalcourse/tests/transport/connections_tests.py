"""Clients outside of the daemons, which read answers of daemons."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from quetzalcourse.__main__ import main
from quetzalcourse.client import StepError, TrainerClient
from quetzalcourse.commands.platform import open_platform
from quetzalcourse.commands.report import collect_events
from quetzalcourse.standins.raw_server import AbruptServer, ConnectionEnd

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.every_loop
PACKAGE = Path(__file__).parents[2]
EXIT_ABORTED = 1
POLL = timedelta(milliseconds=10)
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
LENGTH_2 = b'Content-Length: 2\r\n'
BROKEN_ANSWERS = {
    'reset': HEAD + b'\r\n{}',
    'status 000': HEAD.replace(b'200', b'000') + LENGTH_2 + b'\r\n{}',
    'blank in a name': HEAD + b'X Y: 1\r\n' + LENGTH_2 + b'\r\n{}',
    'control byte in a name': HEAD + b'X\x01Y: 1\r\n' + LENGTH_2 + b'\r\n{}',
    'cut head': HEAD,
}


@pytest.fixture(params=sorted(BROKEN_ANSWERS))
async def broken(request: pytest.FixtureRequest) -> AsyncIterator[AbruptServer]:
    """Run a server whose answers are broken."""
    reset = request.param == 'reset'
    end = ConnectionEnd.reset if reset else ConnectionEnd.closed
    async with serve(BROKEN_ANSWERS[request.param], end) as server:
        yield server


@asynccontextmanager
async def serve(
    content: bytes, end: ConnectionEnd
) -> AsyncIterator[AbruptServer]:
    """Run a server that sends a response and ends the connection with it."""
    server = AbruptServer(content, end)
    await server.start()
    yield server
    await server.stop()


async def test_trainer_asks_another_address_after_a_broken_answer(
    broken: AbruptServer,
) -> None:
    # Guards against trainers that take a broken answer for samples.
    whole = HEAD + b'\r\n{"batches": []}'
    async with (
        serve(whole, ConnectionEnd.closed) as sound,
        TrainerClient(
            [f'http://{broken.address}', f'http://{sound.address}'], 'k', POLL
        ) as client,
    ):
        assert await client.read('trainer', 1, 0) == []
    assert sound.answered == 1


async def test_trainer_reports_that_no_address_answered(
    broken: AbruptServer,
) -> None:
    # Guards against a broken answer that ends a call as if it had succeeded.
    async with TrainerClient(
        [f'http://{broken.address}'], 'k', POLL, timedelta(0)
    ) as client:
        with pytest.raises(StepError) as caught:
            await client.cancel('trainer', 1)
    assert caught.value.code == 'no_answer'


async def test_commands_report_a_broken_answer(
    broken: AbruptServer, tmp_path: Path
) -> None:
    # Guards against operators who are shown a part of an answer as the whole.
    secret = tmp_path / 'key'
    secret.write_text('secret')
    calls = (
        ['status', '--daemon', broken.address],
        [
            'key',
            'list',
            '--daemon',
            broken.address,
            '--operator-key-file',
            str(secret),
        ],
    )
    for call in calls:
        assert await asyncio.to_thread(main, call) == EXIT_ABORTED


async def test_report_leaves_out_a_broken_answer(
    broken: AbruptServer,
) -> None:
    # Guards against burn rates of a part of the events.
    assert await collect_events([broken.address], {}) == [broken.address]


async def test_broken_answer_of_the_platform_is_a_fault(
    broken: AbruptServer,
) -> None:
    # Guards against commands that act on a part of the table.
    async with open_platform(broken.address) as platform:
        assert (await platform.request('GET', '/table')).is_err()


def test_all_sessions_reject_broken_answers() -> None:
    # Guards against a client with a session of its own, which takes broken
    # answers for whole.
    paths = (path.relative_to(PACKAGE) for path in PACKAGE.rglob('*.py'))
    openers = {
        path.as_posix()
        for path in paths
        if path.parts[0] != 'tests'
        and 'ClientSession(' in (PACKAGE / path).read_text()
    }
    assert openers == {'transport/connections.py'}
