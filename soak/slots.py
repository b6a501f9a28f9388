"""Slots that daemons still count once nothing runs any more."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from quetzalcourse.standins.rollout.cluster import Caller

if TYPE_CHECKING:
    from collections.abc import Iterable

    from soak.daemons import SoakDaemon

COUNTED_METRIC = 'quetzalcourse_upstream_slots_counted'
POLL_SECONDS = 0.3


async def await_released_slots(
    daemons: Iterable[SoakDaemon], seconds: float
) -> dict[str, float]:
    """Wait until no daemon counts a slot, for a limited time.

    :returns: slots that are still counted, by daemon; infinite for a daemon
        whose metrics could not be read.
    """
    caller = Caller()
    deadline = asyncio.get_running_loop().time() + seconds
    counted: dict[str, float] = {}
    for daemon in daemons:
        counted[daemon.name] = await _read_counted(caller, daemon)
        while (
            counted[daemon.name]
            and asyncio.get_running_loop().time() < deadline
        ):
            await asyncio.sleep(POLL_SECONDS)
            counted[daemon.name] = await _read_counted(caller, daemon)
    return counted


async def _read_counted(caller: Caller, daemon: SoakDaemon) -> float:
    try:
        reply = await caller.call(
            daemon.metrics_address, 'GET', '/metrics', seconds=1
        )
    except (aiohttp.ClientError, TimeoutError):
        return float('inf')
    return read_gauge(reply.body.decode(), COUNTED_METRIC)


def read_gauge(text: str, name: str) -> float:
    """Read a gauge without labels from the text of a metrics page.

    :returns: infinity if the page has no such gauge.
    """
    for line in text.splitlines():
        found, _, level = line.partition(' ')
        if found.partition('{')[0] == name:
            return float(level)
    return float('inf')
