"""Calls that several tests of daemons on a platform make."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from quetzalcourse.standins.rollout import documents

if TYPE_CHECKING:
    from quetzalcourse.standins.rollout.world import Reply, RolloutWorld

LOOKUP = documents.LOOKUP_PREFIX


async def look_up(
    world: RolloutWorld,
    path: str = LOOKUP,
    **options: Any,
) -> Reply:
    """Send a lookup through the first daemon."""
    return await world.caller.call(
        world.address(), 'POST', path, b'salt', **options
    )


async def await_acquaintance(world: RolloutWorld) -> None:
    """Wait until all daemons know one another."""
    async with asyncio.timeout(10):
        while any(
            len(daemon.presence.list_live()) < len(world.daemons)
            for daemon in world.daemons
        ):
            await asyncio.sleep(0.05)
