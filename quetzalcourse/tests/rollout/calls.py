"""Helpers shared by the tests of daemons on a platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from quetzalcourse.standins.rollout import documents

if TYPE_CHECKING:
    from quetzalcourse.standins.rollout.cluster import Reply, RolloutCluster

LOOKUP = documents.LOOKUP_PREFIX


async def look_up(
    cluster: RolloutCluster,
    path: str = LOOKUP,
    **options: Any,
) -> Reply:
    """Send a lookup through the first daemon."""
    return await cluster.caller.call(
        cluster.address(), 'POST', path, b'salt', **options
    )


async def await_membership(cluster: RolloutCluster) -> None:
    """Wait until every daemon lists all others as live."""
    async with asyncio.timeout(10):
        while any(
            len(daemon.presence.list_live()) < len(cluster.daemons)
            for daemon in cluster.daemons
        ):
            await asyncio.sleep(0.05)
