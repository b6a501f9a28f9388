"""Tests of lifecycle hooks that hang."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from quetzalcourse.lifecycle import Lifecycle
from quetzalcourse.state.counters import Counters
from quetzalcourse.transport.clock import SystemClock


async def hang() -> None:
    """Ignore one cancellation, as a call to a hanging peer may do."""
    with suppress(asyncio.CancelledError):
        await asyncio.sleep(3600)
    await asyncio.sleep(3600)


async def test_hanging_component_does_not_block_the_stop() -> None:
    # A task and a stop hook wait for a peer that never responds while the
    # daemon stops. The process would hang until the platform kills it, before
    # the remaining stop hooks could run.
    lifecycle = Lifecycle(SystemClock(), Counters())
    stopped = []

    async def stop() -> None:
        stopped.append(True)

    async def hang_once() -> None:
        await asyncio.sleep(3600)

    lifecycle.on_stop(stop)
    lifecycle.on_stop(hang_once)
    lifecycle.run('deaf', hang)
    await asyncio.sleep(0)
    async with asyncio.timeout(8):
        await lifecycle.stop()
    assert stopped
