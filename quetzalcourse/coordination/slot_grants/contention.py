"""Decides when daemons have to agree on the slots of an upstream.

Most of the time upstreams have room for all, and a daemon sends as it sees fit
without any message; one that meets a full upstream finds a slot at the next.
Under a shortage, requests wait although each daemon tried, and daemons with
load reports that are seconds old fill the same upstreams again and again. Then
they exchange their demand, until the last sign of a shortage is some seconds
old.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

ZERO = timedelta(0)
# How long an upstream counts as contended after the last sign. A daemon with
# few requests would otherwise meet a refusal with nearly each of them.
CONTENTION_HOLD = timedelta(seconds=2)
# How long requests wait before daemons exchange their demand: about the time
# in which an upstream with room for all gets a slot free.
MIN_CONTENTION_WAIT = timedelta(milliseconds=40)
# Refusals in a row by one upstream that are taken for a shortage.
MIN_REFUSALS = 3
# Pause after a refusal, doubled with each further one.
BASE_PAUSE = timedelta(milliseconds=25)
MAX_PAUSE = timedelta(milliseconds=800)
MAX_REFUSALS = 6


@dataclass(slots=True)
class Contention:
    """Whether one upstream is contended.

    :param until: when it ends without a further sign.
    """

    until: timedelta = ZERO

    def is_active(self, now: timedelta) -> bool:
        """Tell whether daemons have to agree on the upstream's slots."""
        return now < self.until

    def on_sign(
        self, now: timedelta, hold: timedelta = CONTENTION_HOLD
    ) -> bool:
        """Record a refusal, a request that waits, or a notice.

        :param hold: how long it counts.
        :returns: whether contention begins.
        """
        began = not self.is_active(now)
        self.until = max(self.until, now + hold)
        return began


@dataclass(slots=True)
class RefusalPause:
    """Pause between attempts at an upstream that was full.

    Daemons that can't reach the owner try on their own. The pause varies, so
    that they don't try together.

    :param generator: varies the pauses.
    """

    generator: random.Random
    until: timedelta = ZERO
    _refusals: int = 0
    _unended: int = 0

    def on_refused(self, now: timedelta) -> None:
        """Record a refusal, before the request ends."""
        pause = min(BASE_PAUSE * 2**self._refusals, MAX_PAUSE)
        self._refusals = min(self._refusals + 1, MAX_REFUSALS)
        self._unended += 1
        self.until = now + pause * self.generator.uniform(0.5, 1)

    def on_granted(self) -> None:
        """End the pause, since the owner knows of an idle slot."""
        self._refusals = 0
        self.until = ZERO

    def on_ended(self) -> None:
        """Record the end of a request; one that was not refused ends pauses."""
        if self._unended:
            self._unended -= 1
        else:
            self._refusals = 0

    @property
    def is_repeated(self) -> bool:
        """Whether the upstream has been full several times in a row."""
        return self._refusals >= MIN_REFUSALS

    def is_over(self, now: timedelta) -> bool:
        """Tell whether an attempt is due."""
        return now >= self.until
