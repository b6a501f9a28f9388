"""Data centres whose upstreams get no new work, as operators asked.

Operators evacuate a data centre before work on its power or network. What
runs there ends by itself; requests, items, migrated items and loads of weights
go elsewhere from then on. Afterwards its upstreams may have been restarted
unnoticed, so they count as cold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.state.counters import Counters

log = get_log('evacuation')


class Evacuations:
    """Tells the pool which data centres are evacuated."""

    def __init__(self, pool: Pool, counters: Counters) -> None:
        """Begin without an evacuation."""
        self._pool = pool
        self._counters = counters
        self._active: set[str] = set()

    def on_request(self, data_centre: str) -> None:
        """Evacuate a data centre."""
        if data_centre in self._active:
            return
        self._active.add(data_centre)
        self._pool.on_evacuation(data_centre)
        self._show('Evacuation began.', data_centre)

    def on_removal(self, data_centre: str) -> None:
        """Let a data centre take work again."""
        if data_centre not in self._active:
            return
        self._active.discard(data_centre)
        self._pool.on_evacuation_end(data_centre)
        self._show('Evacuation ended.', data_centre)

    def _show(self, sentence: str, data_centre: str) -> None:
        self._counters.set('evacuated_data_centres', len(self._active))
        log.info(sentence, data_centre=data_centre)
