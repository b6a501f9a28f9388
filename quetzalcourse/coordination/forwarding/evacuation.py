"""Evacuation of data centres at operators' request.

Operators evacuate a data centre before maintenance of its power or network.
Work that runs there finishes; new requests, batch items, migrated items and
weight loads go to other data centres. Its upstreams may be restarted unnoticed
meanwhile, so they count as cold once the evacuation ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.state.counters import Counters

log = get_log('evacuation')


class Evacuations:
    """Tracks the evacuated data centres and excludes them from the pool."""

    def __init__(self, pool: Pool, counters: Counters) -> None:
        self._pool = pool
        self._counters = counters
        self._active: set[str] = set()

    def on_request(self, data_centre: str) -> None:
        """Evacuate a data centre; a repeated request has no effect."""
        if data_centre in self._active:
            return
        self._active.add(data_centre)
        self._pool.on_evacuation(data_centre)
        self._report('Data centre evacuation started.', data_centre)

    def on_removal(self, data_centre: str) -> None:
        """End the evacuation of a data centre, if there is one."""
        if data_centre not in self._active:
            return
        self._active.discard(data_centre)
        self._pool.on_evacuation_end(data_centre)
        self._report('Data centre evacuation ended.', data_centre)

    def _report(self, event: str, data_centre: str) -> None:
        self._counters.set('evacuated_data_centres', len(self._active))
        log.info(event, data_centre=data_centre)
