"""Tests of daemons that are paused and killed while they report usage."""

from __future__ import annotations

import asyncio
import json
import signal
from itertools import pairwise
from typing import TYPE_CHECKING, Any

import aiohttp

from quetzalcourse.commands.usage import explain_report, sum_shares
from quetzalcourse.coordination.manifest.manifest_store import ManifestStore
from quetzalcourse.standins.deployment import (
    MODEL,
    READER_KEY,
    build_manifest,
)
from quetzalcourse.standins.engine import EngineStandin
from quetzalcourse.standins.platform import PlatformStandin
from quetzalcourse.standins.processes import DaemonProcess
from quetzalcourse.transport.platform_client import PlatformClient

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

HEADERS = {'Authorization': f'Bearer {READER_KEY}'}
WAIT_TIMEOUT_SECONDS = 40.0


def build_document(platform: str, vm: str) -> dict[str, Any]:
    """Build settings of a daemon with short windows and leases."""
    return {
        'vm': vm,
        'data_centre': 'lac-hall',
        'listen': {'callers': '127.0.0.1:0', 'peers': '127.0.0.1:0'},
        'platform': {'address': platform, 'refresh_seconds': 0.2},
        'drain': {'balancer_seconds': 0.0, 'deadline_seconds': 60.0},
        'lease': {
            'term_seconds': 1.0,
            'margin_seconds': 0.2,
            'order_timeout_seconds': 0.3,
        },
        'usage': {
            'window_seconds': 1.0,
            'grace_seconds': 0.5,
            'copy_seconds': 0.2,
        },
    }


async def wait_until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while not holds():
            await asyncio.sleep(0.05)


async def test_resumed_former_holder_sends_no_reports(tmp_path: Path) -> None:
    # The reporting daemon is paused past the end of its lease, another one
    # takes over, and the first is resumed. Both could send reports, each as
    # the supposed holder. Finally the second one is killed.
    platform = PlatformStandin()
    engine = EngineStandin('engine-0', (MODEL,), slots=4)
    await platform.start()
    await engine.start()
    await apply_manifest(platform, engine)
    reports = platform.record.reports
    daemons = []
    for name in ('vm-8', 'vm-9'):
        folder = tmp_path / name
        folder.mkdir()
        document = build_document(platform.address, name)
        daemons.append(DaemonProcess(folder, document))
    first, second = daemons
    try:
        await first.on_start()
        await ask(first)
        await wait_until(lambda: len(reports) > 1)
        await second.on_start()
        first.send_signal(signal.SIGSTOP)
        paused_at = len(reports)
        await wait_until(lambda: len({one.token for one in reports}) > 1)
        first.send_signal(signal.SIGCONT)
        resumed = len(reports)
        await wait_until(lambda: len(reports) > resumed + 2)
        senders = {one.sender for one in reports[paused_at + 1 :]}
        assert len(senders) == 1
        second.send_signal(signal.SIGKILL)
        await wait_until(lambda: reports[-1].sender == reports[0].sender)
        tokens = [one.token for one in reports]
        assert tokens == sorted(tokens)
        forms = {(one.window, one.content) for one in reports}
        assert len(forms) == len({one.window for one in reports})
        windows = sorted({one.window for one in reports})
        assert all(later > earlier for earlier, later in pairwise(windows))
        await explain_busy_window(platform.address, reports)
    finally:
        for daemon in daemons:
            await daemon.on_stop()
        await engine.stop()
        await platform.stop()


async def apply_manifest(
    platform: PlatformStandin,
    engine: EngineStandin,
) -> None:
    """Put a manifest in force before any daemon starts."""
    async with aiohttp.ClientSession() as session:
        client = PlatformClient(session, platform.address, 2)
        store = ManifestStore(client, client)
        (await store.accept(build_manifest([engine], []), 0)).unwrap()


async def ask(daemon: DaemonProcess) -> None:
    """Request a completion, so that there is usage to report."""
    body = {'model': MODEL, 'prompt': 'third shelf', 'max_tokens': 20}
    base = f'http://{daemon.address}'
    async with aiohttp.ClientSession(base, headers=HEADERS) as session:
        async with session.post('/v1/completions', json=body) as answer:
            assert answer.status == 200


async def explain_busy_window(platform: str, reports: list[Any]) -> None:
    """Check that reported tokens are traced to the daemon that counted."""
    busy = next(one for one in reports if json.loads(one.content)['entries'])
    async with aiohttp.ClientSession() as session:
        table = PlatformClient(session, platform, 2)
        reported, shares = await explain_report(table, busy.window, 'readers')
    assert sum_shares(shares) == reported
    (share,) = shares
    assert share.incarnation == reports[0].sender
    assert share.figures.requests == 1
    assert share.figures.generated_tokens > 0
