"""Start, drain and stop hooks, and background tasks, of a daemon."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

    Hook = Callable[[], Awaitable[None]]

RESTART_DELAY = timedelta(seconds=1)
# Stop hooks take milliseconds; this bounds one that hangs.
STOP_TIMEOUT = timedelta(seconds=2)
log = get_log('lifecycle')


class Lifecycle:
    """Runs the hooks and background tasks of all components.

    :param counters: counts failures of hooks and background tasks.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        """Create a lifecycle without hooks."""
        self._clock = clock
        self._counters = counters
        self._start_hooks: list[Hook] = []
        self._drain_hooks: list[Hook] = []
        self._stop_hooks: list[Hook] = []
        self._tasks: list[asyncio.Task[None]] = []

    def on_start(self, hook: Hook) -> None:
        """Register a hook for the start, before callers are served."""
        self._start_hooks.append(hook)

    def on_drain(self, hook: Hook) -> None:
        """Register a hook for the drain, to hand over what a component owns.

        Drain hooks run concurrently while the last requests finish. By then
        the other daemons know that this one is leaving.
        """
        self._drain_hooks.append(hook)

    def on_stop(self, hook: Hook) -> None:
        """Register a hook for the stop; hooks run in reverse order."""
        self._stop_hooks.append(hook)

    def run(self, name: str, body: Hook) -> None:
        """Run a task in the background until the stop.

        :param name: name of the task in logs and metrics.
        :param body: runs until cancelled; restarted when it ends or fails.
        """
        task = asyncio.get_running_loop().create_task(
            self._run_repeatedly(name, body)
        )
        self._tasks.append(task)

    async def start(self) -> None:
        """Call the start hooks in order of registration."""
        for hook in self._start_hooks:
            await hook()

    async def drain(self) -> None:
        """Call the drain hooks concurrently and wait for all of them."""
        await asyncio.gather(
            *(self._call_safely('drain', hook) for hook in self._drain_hooks)
        )

    async def stop(self) -> None:
        """Cancel the background tasks and call the stop hooks."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            # A task that lost its cancellation, or waits for a peer that
            # never responds, must not keep the process from exiting.
            await asyncio.wait(
                self._tasks, timeout=STOP_TIMEOUT.total_seconds()
            )
        for hook in reversed(self._stop_hooks):
            await self._call_safely(
                'stop', partial(self._stop_with_timeout, hook)
            )

    async def _stop_with_timeout(self, hook: Hook) -> None:
        try:
            async with asyncio.timeout(STOP_TIMEOUT.total_seconds()):
                await hook()
        except TimeoutError:
            log.warning('Stop hook timed out.')

    async def _run_repeatedly(self, name: str, body: Hook) -> None:
        # A task that failed would leave its component silently stale, without
        # new manifests or heartbeats. It is restarted, and counted.
        while True:
            await self._call_safely(name, body)
            await self._clock.sleep(RESTART_DELAY)

    async def _call_safely(self, name: str, hook: Hook) -> None:
        try:
            await hook()
        except Exception as error:
            self._counters.add('part_faults', part=name)
            log.error(
                'Hook or background task failed.',
                name=name,
                kind=type(error).__name__,
                reason=str(error),
            )
