"""An upstream, and what one daemon knows of it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalcourse.state.pool import PoolMember
    from quetzalcourse.state.routing import AllowedRegions

# Age until which a load report counts.
REPORT_TTL = timedelta(seconds=1.5)
# Readings before the mean token latency is used.
MIN_LATENCY_READINGS = 12
# Sent requests that are remembered for each upstream.
MAX_SENT = 64
ZERO = timedelta(0)


def _build_history() -> deque[timedelta]:
    return deque(maxlen=MAX_SENT)


@dataclass(slots=True)
class Upstream:
    """An upstream and what this daemon knows of it.

    :param region: region of its data centre, empty if it is not known.
    :param running: requests that this daemon has there.
    :param others: requests of other daemons when it told its load.
    :param faults: failed attempts since the last good one.
    :param ejected_until: time since boot until which it is ejected.
    :param consecutive_timeouts: answers in a row that did not come in time.
    :param latencies: readings of its token latency.
    :param mean_token_latency: running mean of the time between two events.
    :param versions: weight versions seen in answers, newer than registered.
    :param unavailable_until: models that it refuses for now, and until when.
    :param kept_until: until when a connection to it is kept open.
    :param taken: running items of other daemons, as they told themselves.
    :param taken_until: until when that says more than the upstream's word.
    :param evacuated: whether operators evacuate its data centre.
    :param cold_until: time since boot until which it takes few requests.
    :param sent_at: when this daemon sent it the last requests, oldest first.
    """

    member: PoolMember
    region: str = ''
    running: int = 0
    others: int = 0
    others_at: timedelta = ZERO
    faults: int = 0
    ejected_until: timedelta = ZERO
    consecutive_timeouts: int = 0
    latencies: int = 0
    mean_token_latency: float = 0
    versions: dict[str, int] = field(default_factory=dict)
    unavailable_until: dict[str, timedelta] = field(default_factory=dict)
    kept_until: timedelta = ZERO
    taken: int = 0
    taken_until: timedelta = ZERO
    evacuated: bool = False
    cold_until: timedelta = ZERO
    sent_at: deque[timedelta] = field(default_factory=_build_history)

    @property
    def name(self) -> str:
        """Id of the upstream."""
        return self.member.name

    @property
    def token_latency(self) -> float:
        """Mean time in seconds between two events, 0 if unknown."""
        if self.latencies < MIN_LATENCY_READINGS:
            return 0
        return self.mean_token_latency

    @property
    def run(self) -> tuple[str, int]:
        """Name of this run of the upstream."""
        return self.member.name, self.member.started

    def count_load(self, now: timedelta) -> int:
        """Count the requests that it has, as far as is known.

        What an upstream says is as old as its last answer here; daemons that
        run batches tell each other at once.
        """
        if now < self.taken_until:
            return self.running + self.taken
        if now - self.others_at > REPORT_TTL:
            return self.running
        return self.running + self.others

    def find_version(self, model: str) -> int:
        """Tell the newest weight version that it is known to hold."""
        registered = self.member.versions.get(model, 0)
        return max(registered, self.versions.get(model, 0))

    def fits(self, model: str, oldest: int, now: timedelta) -> bool:
        """Tell whether it takes items of a model.

        :param oldest: oldest weight version that may make their tokens.
        """
        if not self.is_open(now) or self.find_version(model) < oldest:
            return False
        return self.unavailable_until.get(model, ZERO) <= now

    def is_allowed(self, allowed: AllowedRegions) -> bool:
        """Tell whether it stands in one of the regions."""
        return allowed is None or self.region in allowed

    @property
    def accepts_work(self) -> bool:
        """Whether operators and the upstream itself let it take new work."""
        return not self.member.leaving and not self.evacuated

    def is_open(self, now: timedelta) -> bool:
        """Tell whether it may be given work."""
        return self.accepts_work and now >= self.ejected_until

    def is_cold(self, now: timedelta) -> bool:
        """Tell whether it started so recently that it takes few requests."""
        return now < self.cold_until

    def count_sent(self, since: timedelta) -> int:
        """Count the requests that this daemon sent it since a time."""
        return sum(sent > since for sent in self.sent_at)
