"""Distinguishes a crashed upstream from a broken connection."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import TYPE_CHECKING

from quetzalcourse.log import get_log
from quetzalcourse.transport.channel import open_socket
from quetzalcourse.transport.sockets import split_address

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.quarantine.quarantine import Quarantine
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.quarantine import UpstreamRun

# Connecting to an upstream that was connected just now takes one round trip.
PROBE_TIMEOUT_SECONDS = 0.1
log = get_log('pool')


class CrashDetector:
    """Detects upstreams that crash while they process requests."""

    def __init__(
        self, pool: Pool, quarantine: Quarantine, counters: Counters
    ) -> None:
        """Store the pool, which knows the draining upstreams."""
        self._pool = pool
        self._quarantine = quarantine
        self._counters = counters
        self._probes: dict[UpstreamRun, asyncio.Task[bool]] = {}

    async def on_connection_lost(
        self,
        upstream: Upstream,
        request_id: str,
        fingerprint: str,
    ) -> bool:
        """Handle a connection that broke after a caller's request was sent.

        :returns: whether the upstream appears to have crashed, for which the
            request may be quarantined.
        """
        crashed = await self.has_crashed(upstream, request_id, fingerprint)
        if crashed:
            self._quarantine.on_crash(
                fingerprint, upstream.run_id, upstream.member.address
            )
        return crashed

    async def has_crashed(
        self,
        upstream: Upstream,
        request_id: str,
        fingerprint: str,
    ) -> bool:
        """Return whether an upstream that broke a connection has crashed.

        A planned shutdown is not a crash.
        """
        if upstream.member.leaving or self._pool.find(upstream.name) is None:
            return False
        if await self._probe(upstream):
            return False
        log.warning(
            'Upstream crashed during a request.',
            request_id=request_id,
            fingerprint=fingerprint,
            upstream=upstream.name,
            peer=upstream.member.address,
        )
        self._counters.add('upstream_ends')
        return True

    async def _probe(self, upstream: Upstream) -> bool:
        """Probe an upstream once for all requests that failed together."""
        run = upstream.run_id
        probe = self._probes.get(run)
        if probe is None:
            probe = asyncio.ensure_future(is_listening(upstream.member.address))
            self._probes[run] = probe
            probe.add_done_callback(lambda _: self._probes.pop(run, None))
        return await asyncio.shield(probe)


async def is_listening(address: str) -> bool:
    """Check whether an upstream that broke a connection may still run.

    The host of an exited process refuses connections immediately. Any other
    outcome, including a timeout, is no evidence of an exit.

    :param address: IP address and port.
    :returns: ``False`` only if the connection is refused.
    """
    host, port = split_address(address)
    family = (socket.AF_INET, socket.SOCK_STREAM, 0)
    with open_socket(family) as probe:
        error = probe.connect_ex((host, port))
        if error == errno.EINPROGRESS:
            await _wait_writable(probe, PROBE_TIMEOUT_SECONDS)
            # The socket holds the outcome even if the event loop was too busy
            # to look at it in time.
            error = probe.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return error != errno.ECONNREFUSED


async def _wait_writable(opened: socket.socket, seconds: float) -> None:
    """Wait until a socket is connected or has failed to, for a limited time."""
    loop = asyncio.get_running_loop()
    writable = asyncio.Event()
    loop.add_writer(opened, writable.set)
    try:
        async with asyncio.timeout(seconds):
            await writable.wait()
    except TimeoutError:
        return
    finally:
        loop.remove_writer(opened)
