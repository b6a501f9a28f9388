"""Tests of several daemon processes that share the slots of one engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from quetzalcourse.standins.deployment import (
    MODEL,
    READER_KEY,
    SLOTS,
    Deployment,
)
from quetzalcourse.standins.processes import DaemonProcess

if TYPE_CHECKING:
    from pathlib import Path

HEADERS = {'Authorization': f'Bearer {READER_KEY}'}
SECRET = 'a shared secret of the test'
DAEMONS = 3
REQUESTS = 20
POLL_SECONDS = 0.1
MAX_SECONDS = 60.0


def build_document(
    deployment: Deployment,
    number: int,
    seeds: list[str],
) -> dict[str, Any]:
    """Build the settings of a daemon with seed peers."""
    return {
        'vm': f'vm-{number}',
        'data_centre': 'lac-hall',
        'listen': {'callers': '127.0.0.1:0', 'peers': '127.0.0.1:0'},
        'platform': {'address': deployment.platform.address},
        'peering': {'secrets': [SECRET], 'seeds': seeds},
    }


async def start_daemons(
    folder: Path,
    deployment: Deployment,
) -> list[DaemonProcess]:
    """Start daemons that are peers of one another."""
    daemons: list[DaemonProcess] = []
    for number in range(DAEMONS):
        seeds = [daemon.peers for daemon in daemons[:1]]
        document = build_document(deployment, number, seeds)
        daemon = DaemonProcess(folder, document)
        await daemon.on_start()
        daemons.append(daemon)
    return daemons


async def wait_agreed(
    session: aiohttp.ClientSession,
    daemons: list[DaemonProcess],
) -> None:
    """Wait until every daemon counts every daemon as live."""
    for daemon in daemons:
        live = 0
        while live < DAEMONS:
            await asyncio.sleep(POLL_SECONDS)
            url = f'http://{daemon.address}/status'
            async with session.get(url) as answer:
                live = (await answer.json())['peering']['live_here']


async def ask(
    session: aiohttp.ClientSession,
    daemon: DaemonProcess,
    seed: int,
) -> int:
    """Request a completion and return the status code."""
    body = {
        'model': MODEL,
        'prompt': 'a line on salt',
        'seed': seed,
        'max_tokens': 80,
    }
    url = f'http://{daemon.address}/v1/completions'
    async with session.post(url, json=body) as answer:
        await answer.read()
        return answer.status


async def ask_all(
    session: aiohttp.ClientSession,
    daemons: list[DaemonProcess],
) -> set[int]:
    """Send every daemon more requests at once than the engine can run."""
    statuses = await asyncio.gather(
        *(
            ask(session, daemon, seed)
            for seed in range(REQUESTS)
            for daemon in daemons
        )
    )
    return set(statuses)


async def test_engine_slots_are_not_oversubscribed(tmp_path: Path) -> None:
    # Callers send three daemons more requests than the engine can run.
    # Without coordination each daemon would fill the engine, and requests
    # would queue inside it. Right after the daemons have joined, the owner of
    # the slots grants few of them, as it does not know earlier grants; soon it
    # must grant nearly all.
    deployment = Deployment(engine_count=1, token_seconds=0.01)
    await deployment.on_start()
    record = deployment.engines[0].record
    daemons = await start_daemons(tmp_path, deployment)
    asked = 0
    async with aiohttp.ClientSession(headers=HEADERS) as session:
        await wait_agreed(session, daemons)
        async with asyncio.timeout(MAX_SECONDS):
            while record.max_running <= SLOTS // 2:
                assert await ask_all(session, daemons) == {200}
                asked += DAEMONS * REQUESTS
    for daemon in daemons:
        await daemon.on_stop()
    await deployment.on_stop()
    assert len(record.completed) == asked
    assert record.max_queued == 0
    assert record.max_running <= SLOTS
