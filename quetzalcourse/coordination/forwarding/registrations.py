"""Registration entries of upstreams, applied from the store to the pool.

Entries expire in the store unless their upstreams renew them. During a store
outage no upstream can renew, so entries that expire then are kept until the
upstreams have had time to register again.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err, Result

from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.feeds.follower import TableFollower
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.pool import PoolMember
    from quetzalcourse.state.rows import Row

    Reader = Callable[[str, bytes], Result[PoolMember, str]]

# Upstreams whose entries expired during a store outage register again within
# two seconds of its recovery; one that does not is gone.
REREGISTRATION_GRACE = timedelta(seconds=2)
CHECK_INTERVAL = timedelta(milliseconds=250)
log = get_log('pool')


class Registrations:
    """Applies the store's registration entries to the pool.

    :param read: decodes an entry, given the upstream's id and its content.
    """

    def __init__(
        self,
        follower: TableFollower,
        pool: Pool,
        read: Reader,
        clock: Clock,
    ) -> None:
        """Subscribe to the entries."""
        self._follower = follower
        self._pool = pool
        self._read = read
        self._clock = clock
        self._expired: set[str] = set()
        self._has_expired = asyncio.Event()
        follower.on_rows(self.on_rows)
        pool.set_entry_check(self.are_current)

    def on_rows(self, rows: list[Row]) -> None:
        """Apply changed entries."""
        for row in rows:
            name = row.key.split('/', 2)[2]
            if row.removed:
                self._on_removed(name)
            else:
                self._expired.discard(name)
                self._on_entry(name, row.content)

    def are_current(self) -> bool:
        """Return whether entries arrive as upstreams write them."""
        return self._follower.healthy_for > REREGISTRATION_GRACE

    async def run(self) -> None:
        """Remove expired entries once their upstreams could have returned."""
        while True:
            await self._has_expired.wait()
            await self._clock.sleep(CHECK_INTERVAL)
            if self.are_current():
                for name in self._expired:
                    self._pool.remove(name)
                self._expired.clear()
                self._has_expired.clear()

    def _on_entry(self, name: str, content: bytes) -> None:
        answer = self._read(name, content)
        if isinstance(answer, Err):
            # Written by something other than an upstream: not to be used.
            log.warning(
                'Upstream registration is malformed.',
                upstream=name,
                reason=answer.err_value,
            )
            self._pool.remove(name)
            return
        self._pool.replace(answer.ok_value)

    def _on_removed(self, name: str) -> None:
        if self.are_current():
            self._pool.remove(name)
            return
        log.info(
            'Upstream registration expired during a store outage.',
            upstream=name,
        )
        self._expired.add(name)
        self._has_expired.set()
