"""Tests of graceful stops: signals, hooks and rolling restarts."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import aiohttp

from quetzalcourse.application import Application
from quetzalcourse.daemon import run_application
from quetzalcourse.lifecycle import Lifecycle
from quetzalcourse.settings.process import PlatformSettings
from quetzalcourse.standins.deployment import (
    MODEL,
    READER_KEY,
    Deployment,
    build_settings,
)
from quetzalcourse.standins.platform import PlatformStandin
from quetzalcourse.standins.processes import DaemonProcess
from quetzalcourse.state.counters import Counters
from quetzalcourse.tests.clocks import FakeClock, settle
from quetzalcourse.transport.clock import SystemClock

if TYPE_CHECKING:
    from pathlib import Path

HEADERS = {'Authorization': f'Bearer {READER_KEY}'}
STREAM = {
    'model': MODEL,
    'prompt': 'a short answer',
    'max_tokens': 60,
    'stream': True,
}
SECRET = 'a shared secret of the test'


async def test_signal_during_the_start_exits_with_success() -> None:
    # A VM is stopped while its daemon still waits for a slow platform. The
    # daemon has served no requests, so it exits at once with success.
    platform = PlatformStandin()
    platform.faults.slow_seconds = 60.0
    await platform.start()
    signals: asyncio.Queue[signal.Signals] = asyncio.Queue()
    slow_platform = PlatformSettings(
        address=platform.address, timeout_seconds=60
    )
    settings = build_settings(platform.address)
    application = Application(
        settings.model_copy(update={'platform': slow_platform})
    )
    running = asyncio.ensure_future(run_application(application, signals))
    await settle()
    signals.put_nowait(signal.SIGTERM)
    async with asyncio.timeout(30):
        assert await running == 0
    await platform.stop()


async def test_hooks_run_in_order_and_survive_faults() -> None:
    # One drain hook fails. The others must still run, and stop hooks run in
    # reverse order of registration.
    calls: list[str] = []
    counters = Counters()
    lifecycle = Lifecycle(FakeClock(), counters)

    async def fail() -> None:
        raise ValueError('no answer')

    def note(name: str):  # type: ignore[no-untyped-def]
        async def hook() -> None:
            calls.append(name)

        return hook

    lifecycle.on_start(note('start'))
    lifecycle.on_drain(fail)
    lifecycle.on_drain(note('drain'))
    lifecycle.on_stop(note('opened first'))
    lifecycle.on_stop(fail)
    lifecycle.on_stop(note('opened last'))
    await lifecycle.start()
    await lifecycle.drain()
    await lifecycle.stop()
    assert calls == ['start', 'drain', 'opened last', 'opened first']
    assert counters.read('part_faults', part='drain') == 1
    assert counters.read('part_faults', part='stop') == 1


async def test_failed_background_task_is_restarted() -> None:
    # A background task fails. Without a restart it would silently be missing,
    # and the daemon would continue with stale data.
    clock = SystemClock()
    counters = Counters()
    lifecycle = Lifecycle(clock, counters)
    runs = asyncio.Event()
    started: list[int] = []

    async def body() -> None:
        started.append(1)
        if len(started) == 1:
            raise ValueError('no answer')
        runs.set()
        await asyncio.Event().wait()

    lifecycle.run('follower', body)
    await runs.wait()
    assert counters.read('part_faults', part='follower') == 1
    await lifecycle.stop()


async def test_rolling_restart_cuts_off_no_request(tmp_path: Path) -> None:
    # Operators replace daemons one after another while callers read streams.
    # Callers must get complete responses, and every exit code must be 0.
    deployment = Deployment(engine_count=1, token_seconds=0.005)
    await deployment.on_start()
    first = build_daemon(tmp_path, deployment, 0, [])
    await first.on_start()
    seeds = [first.peers]
    daemons = [
        build_daemon(tmp_path, deployment, number, seeds)
        for number in range(1, 6)
    ]
    await asyncio.gather(*(daemon.on_start() for daemon in daemons))
    daemons.insert(0, first)
    ready = [daemon.address for daemon in daemons]
    answers: list[asyncio.Future[bytes]] = []
    async with aiohttp.ClientSession(headers=HEADERS) as session:
        for stopped in daemons[:3]:
            answers.extend(
                asyncio.ensure_future(read_stream(session, address))
                for address in ready * 2
            )
            await asyncio.sleep(0.05)
            stopped.send_signal(signal.SIGTERM)
            ready.remove(stopped.address)
            assert await stopped.wait() == 0
        contents = await asyncio.gather(*answers)
    assert all(content.endswith(b'[DONE]\n\n') for content in contents)
    assert len({strip_ids(content) for content in contents}) == 1
    for daemon in daemons:
        await daemon.on_stop()
    await deployment.on_stop()


def build_daemon(
    folder: Path,
    deployment: Deployment,
    number: int,
    seeds: list[str],
) -> DaemonProcess:
    """Build a daemon process with a platform and seed peers."""
    return DaemonProcess(
        folder,
        {
            'vm': f'vm-{number}',
            'data_centre': 'lac-hall',
            'listen': {'callers': '127.0.0.1:0', 'peers': '127.0.0.1:0'},
            'platform': {'address': deployment.platform.address},
            'peering': {
                'secrets': [SECRET],
                'seeds': seeds,
            },
            'drain': {'balancer_seconds': 0.5, 'deadline_seconds': 60.0},
        },
    )


async def read_stream(session: aiohttp.ClientSession, address: str) -> bytes:
    """Read one stream to its end."""
    url = f'http://{address}/v1/completions'
    async with session.post(url, json=STREAM) as answer:
        return await answer.read()


def strip_ids(content: bytes) -> bytes:
    """Extract the text of a stream, which is the same for all."""
    return b''.join(
        line.partition(b'"text":')[2].partition(b',')[0]
        for line in content.split(b'\n')
    )
