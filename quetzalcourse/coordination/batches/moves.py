"""Which running items go on at a faster upstream, and where.

The load that this answers: an upstream turns several times slower while
items run there, or a long item runs at one that is always a third slower
than the rest; its step waits for that item alone while slots elsewhere are
free. A move costs a connection and the reading of the prompt and the text,
so it has to gain more than that. It takes the slot first: items that left
their upstream for a slot that another one got would go back to where they
were, over and over, and stand still meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.coordination.forwarding.pool import Upstream

# Shortest time that a move has to gain; the move itself takes some 50 ms and
# up to 150 ms where the other upstream reads prompts at that moment.
LEAST_GAIN = timedelta(milliseconds=500)
# Events that an item is taken to have still before it, at the least: what is
# expected of it may be short by a factor.
LEAST_EVENTS = 12
# Slots that a move leaves free, so that it takes none from items that wait.
SPARE_SLOTS = 1
# A load of weights stops every stream of an upstream for most of a second,
# which says nothing of its pace: counted in, it made all items leave an
# upstream just when it was as fast as ever again. A second gap of a stream
# counts.
PAUSE = timedelta(milliseconds=400)


@dataclass(slots=True)
class PaceReader:
    """Reads the pace of an upstream off one stream.

    :param last_at: when the last events came, ``None`` before the first;
        the time to those is that of the prompt and the queue.
    :param paused: whether one long gap has been left out already.
    """

    last_at: timedelta | None = None
    paused: bool = False

    def read(self, now: timedelta, events: int) -> float | None:
        """Read the time between two events.

        :param events: how many came now.
        :returns: seconds, ``None`` if this says nothing of the pace.
        """
        if not events:
            return None
        last_at = self.last_at
        self.last_at = now
        if last_at is None:
            return None
        gap = now - last_at
        if gap > PAUSE and not self.paused:
            self.paused = True
            return None
        return gap.total_seconds() / events


def choose_target(
    here: Upstream,
    others: Iterable[Upstream],
    left: int,
    now: timedelta,
) -> Upstream | None:
    """Choose where an item should go on.

    :param here: upstream where it runs.
    :param others: upstreams that may run it.
    :param left: events that it is expected to have still before it.
    :returns: ``None`` if it should stay.
    """
    if not here.pace:
        return None
    free = [
        one
        for one in others
        if one.name != here.name
        and one.pace
        and not one.faults
        and one.count_load(now) + SPARE_SLOTS < one.member.slots
    ]
    best = min(free, key=lambda one: one.pace, default=None)
    if best is None:
        return None
    events = max(left, LEAST_EVENTS)
    gain = timedelta(seconds=(here.pace - best.pace) * events)
    return best if gain >= LEAST_GAIN else None
