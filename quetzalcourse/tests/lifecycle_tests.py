"""Life-cycle hooks of a daemon's parts."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from quetzalcourse.lifecycle import Lifecycle
from quetzalcourse.state.counters import Counters
from quetzalcourse.transport.clock import SystemClock


async def hang() -> None:
    """Lose one cancellation, as a peer that never answers can cause."""
    with suppress(asyncio.CancelledError):
        await asyncio.sleep(3600)
    await asyncio.sleep(3600)


async def test_part_that_hangs_does_not_keep_the_process() -> None:
    # A part waits for a peer that never answers while its daemon stops. The
    # process would stay until the platform kills it, and with it whatever
    # the parts after it had still to close.
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
