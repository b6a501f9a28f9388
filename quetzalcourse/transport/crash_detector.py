"""Tells an upstream that ended from a connection that broke."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from quetzalcourse.log import get_log
from quetzalcourse.transport.channel import open_socket

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.quarantine.quarantine import Quarantine
    from quetzalcourse.state.quarantine import UpstreamRun

# An upstream whose connection has just broken is a round trip away.
PROBE_TIMEOUT_SECONDS = 0.1
log = get_log('pool')


class CrashDetector:
    """Finds out whether upstreams end while requests run on them."""

    def __init__(self, pool: Pool, quarantine: Quarantine) -> None:
        """Keep the pool that knows which upstreams leave."""
        self._pool = pool
        self._quarantine = quarantine
        self._probes: dict[UpstreamRun, asyncio.Task[bool]] = {}

    async def on_connection_lost(
        self,
        upstream: Upstream,
        request_id: str,
        fingerprint: str,
    ) -> bool:
        """Learn that a connection broke after a request was sent on it.

        :returns: whether the upstream seems to have ended unplanned.
        """
        if upstream.member.leaving or self._pool.find(upstream.name) is None:
            return False
        if await self._probe(upstream):
            return False
        log.warning(
            'Upstream ended under a request.',
            request_id=request_id,
            fingerprint=fingerprint,
            upstream=upstream.name,
            peer=upstream.member.address,
        )
        self._quarantine.on_crash(
            fingerprint, upstream.run_id, upstream.member.address
        )
        return True

    async def _probe(self, upstream: Upstream) -> bool:
        """Ask an upstream once for all requests that it broke off together."""
        run = upstream.run_id
        probe = self._probes.get(run)
        if probe is None:
            probe = asyncio.ensure_future(is_listening(upstream.member.address))
            self._probes[run] = probe
            probe.add_done_callback(lambda _: self._probes.pop(run, None))
        return await asyncio.shield(probe)


async def is_listening(address: str) -> bool:
    """Tell whether an upstream that broke a connection may still run.

    The host of a process that ended refuses connections at once. Anything
    else, silence too, does not show that it ended.

    :param address: IP number and port.
    """
    host, _, port = address.rpartition(':')
    family = (socket.AF_INET, socket.SOCK_STREAM, 0)
    with open_socket(family) as probe:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                await asyncio.get_running_loop().sock_connect(
                    probe, (host, int(port))
                )
        except ConnectionRefusedError:
            return False
        except (TimeoutError, OSError):
            return True
    return True
