"""Tests of the daemon process: machine rules, signals and settings."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest
import pytest_asyncio

from quetzalcourse.daemon import main
from quetzalcourse.standins.deployment import (
    MODEL,
    READER_KEY,
    SERVICE,
    Deployment,
)
from quetzalcourse.standins.processes import DaemonProcess

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HEADERS = {'Authorization': f'Bearer {READER_KEY}'}
REAPED_FAULTS_FIELD = 8
PROMPT = 'a long answer'
STREAM_BODY = {
    'model': MODEL,
    'prompt': PROMPT,
    'seed': 5,
    'max_tokens': 400,
    'stream': True,
}


def build_document(platform: str) -> dict[str, Any]:
    """Build settings of a daemon with ports that the system assigns."""
    return {
        'vm': 'vm-9',
        'data_centre': 'lac-hall',
        'listen': {'callers': '127.0.0.1:0', 'peers': '127.0.0.1:0'},
        'platform': {'address': platform},
        'drain': {'balancer_seconds': 0.0, 'deadline_seconds': 60.0},
    }


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Start simulated services and put a manifest for them in force."""
    running = Deployment(engine_count=1, token_seconds=0.002)
    await running.on_start()
    yield running
    await running.on_stop()


@pytest_asyncio.fixture
async def daemon(
    deployment: Deployment,
    tmp_path: Path,
) -> AsyncIterator[DaemonProcess]:
    """Start a daemon process that uses the simulated services."""
    document = build_document(deployment.platform.address)
    process = DaemonProcess(tmp_path, document)
    await process.on_start()
    yield process
    await process.on_stop()


async def use_every_route(daemon: DaemonProcess) -> None:
    """Call a model, a service, the metrics and the readiness probe."""
    base = f'http://{daemon.address}'
    async with aiohttp.ClientSession(base, headers=HEADERS) as session:
        async with session.post('/v1/completions', json=STREAM_BODY) as answer:
            assert answer.status == 200
            await answer.read()
        for path in (f'/services/{SERVICE}/shelf', '/metrics', '/readyz'):
            async with session.get(path) as answer:
                assert answer.status == 200
                await answer.read()


def list_opened(process: Path) -> list[str]:
    """List the open descriptors of a process; some may close meanwhile."""
    opened = []
    for entry in (process / 'fd').iterdir():
        with contextlib.suppress(FileNotFoundError):
            opened.append(str(entry.readlink()))
    return opened


async def test_machine_rules_hold(daemon: DaemonProcess) -> None:
    # A library sets up io_uring, forks a child process for a banner, or maps
    # shared memory. The VMs forbid all three and would kill the daemon.
    await use_every_route(daemon)
    process = Path('/proc') / str(daemon.pid)
    opened = list_opened(process)
    assert len(opened) > 3
    assert not any('io_uring' in target for target in opened)
    mapped = (process / 'maps').read_text().splitlines()
    shared = [line for line in mapped if line.split()[1].endswith('s')]
    assert not any('w' in line.split()[1] for line in shared)
    assert not any('/dev/shm' in line or 'memfd' in line for line in mapped)
    tasks = (process / 'task').iterdir()
    assert not any((task / 'children').read_text() for task in tasks)
    fields = (process / 'stat').read_text().rpartition(')')[2].split()
    assert fields[REAPED_FAULTS_FIELD] == '0'


async def test_stream_completes_after_sigterm(
    deployment: Deployment,
    daemon: DaemonProcess,
) -> None:
    # The platform replaces a VM while a caller reads a response. A daemon
    # that stopped at once would truncate it.
    base = f'http://{daemon.address}'
    async with aiohttp.ClientSession(base, headers=HEADERS) as session:
        async with session.post('/v1/completions', json=STREAM_BODY) as answer:
            first = await answer.content.readline()
            daemon.send_signal(signal.SIGTERM)
            rest = await answer.read()
    assert first.startswith(b'data: ')
    assert rest.endswith(b'data: [DONE]\n\n')
    assert await daemon.wait() == 0
    assert any('"cut": 0' in line for line in daemon.lines)


async def test_second_signal_ends_the_drain(
    deployment: Deployment,
    daemon: DaemonProcess,
) -> None:
    # A stream never ends, and the operator does not want to wait for the
    # deadline. The exit code must show that a request was cut off.
    deployment.engines[0].faults.stall = True
    base = f'http://{daemon.address}'
    async with aiohttp.ClientSession(base, headers=HEADERS) as session:
        asking = asyncio.create_task(
            session.post('/v1/completions', json=STREAM_BODY)
        )
        while not deployment.engines[0].record.started:
            await asyncio.sleep(0.01)
        daemon.send_signal(signal.SIGTERM)
        while not any('Drain began' in line for line in daemon.lines):
            await asyncio.sleep(0.01)
        daemon.send_signal(signal.SIGTERM)
        assert await daemon.wait() == 1
        answer = await asking
        assert answer.status >= 500
        refusal = (await answer.json())['error']
        assert refusal['not_run'] is False
    deployment.engines[0].faults.stall = False


async def test_logs_contain_no_key_and_no_prompt(daemon: DaemonProcess) -> None:
    # More people can read logs than may act for a caller, and prompts contain
    # text of the caller's own users.
    await use_every_route(daemon)
    daemon.send_signal(signal.SIGTERM)
    await daemon.wait()
    logged = '\n'.join(daemon.lines)
    assert 'Daemon stopped.' in logged
    assert READER_KEY.partition('.')[2] not in logged
    assert PROMPT not in logged


async def test_start_without_manifest_is_not_ready(
    deployment: Deployment,
    tmp_path: Path,
) -> None:
    # A VM starts while the platform's store is down. It could only refuse
    # requests, so the load balancer must not send it any.
    deployment.platform.faults.down = True
    document = build_document(deployment.platform.address)
    process = DaemonProcess(tmp_path, document)
    await process.on_start()
    async with aiohttp.ClientSession() as session:
        url = f'http://{process.address}/readyz'
        async with session.get(url) as answer:
            assert answer.status == 503
    deployment.platform.faults.down = False
    await process.on_stop()


def test_all_errors_of_settings_are_reported_at_once(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # An operator makes several mistakes at once, and should not have to start
    # the daemon once for each of them.
    path = tmp_path / 'settings.toml'
    path.write_text(
        'vm = 7\n'
        'data_centre = "lac-hall"\n'
        'colour = "red"\n'
        '[listen]\n'
        'callers = "localhost:80"\n'
        'peers = "127.0.0.1:99999"\n'
        '[platform]\n'
        'address = "127.0.0.1:80"\n'
        '[drain]\n'
        'balancer_seconds = 9.0\n'
        'deadline_seconds = 3.0\n'
    )
    assert main(['--settings', str(path)]) == 1
    error_output = capsys.readouterr().err
    for key in ('vm', 'colour', 'listen.callers', 'listen.peers', 'drain'):
        assert f'settings.toml: {key}: ' in error_output


async def test_reload_signal_does_not_end_the_daemon(
    daemon: DaemonProcess,
) -> None:
    # The platform sends SIGHUP when the settings file has changed. Its default
    # action ends the process and cuts off its callers.
    daemon.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.5)
    daemon.send_signal(signal.SIGTERM)
    assert await daemon.wait() == 0
    assert any('Reload signal received.' in line for line in daemon.lines)
