"""Which entries of upstreams count, also after the store was away."""

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

# Upstreams whose entries lapsed while the store was away register again
# within two seconds of its return; one that does not by then is gone.
REREGISTRATION_GRACE = timedelta(seconds=2)
CHECK_INTERVAL = timedelta(milliseconds=250)
log = get_log('pool')


class Registrations:
    """Brings the entries of the store into the pool.

    :param read: reads an entry, given the upstream's id and its content.
    """

    def __init__(
        self,
        follower: TableFollower,
        pool: Pool,
        read: Reader,
        clock: Clock,
    ) -> None:
        """Follow the entries."""
        self._follower = follower
        self._pool = pool
        self._read = read
        self._clock = clock
        self._lapsed: set[str] = set()
        self._lapsing = asyncio.Event()
        follower.on_rows(self.on_rows)
        pool.set_entry_check(self.are_current)

    def on_rows(self, rows: list[Row]) -> None:
        """Take entries that changed."""
        for row in rows:
            name = row.key.rpartition('/')[2]
            if row.removed:
                self._on_removed(name)
            else:
                self._lapsed.discard(name)
                self._on_entry(name, row.content)

    def are_current(self) -> bool:
        """Tell whether entries come in as upstreams write them."""
        return self._follower.healthy_for > REREGISTRATION_GRACE

    async def run(self) -> None:
        """Give up lapsed entries once their time is over."""
        while True:
            await self._lapsing.wait()
            await self._clock.sleep(CHECK_INTERVAL)
            if self.are_current():
                for name in self._lapsed:
                    self._pool.remove(name)
                self._lapsed.clear()
                self._lapsing.clear()

    def _on_entry(self, name: str, content: bytes) -> None:
        answer = self._read(name, content)
        if isinstance(answer, Err):
            # Something else wrote there; it names no upstream to use.
            log.warning('Entry is malformed.', upstream=name)
            self._pool.remove(name)
            return
        self._pool.replace(answer.ok_value)

    def _on_removed(self, name: str) -> None:
        if self.are_current():
            self._pool.remove(name)
            return
        log.info('Entry lapsed while the store was away.', upstream=name)
        self._lapsed.add(name)
        self._lapsing.set()
