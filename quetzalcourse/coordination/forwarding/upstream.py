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
MAX_RECENT_SENDS = 64
ZERO = timedelta(0)


def _build_history() -> deque[timedelta]:
    return deque(maxlen=MAX_RECENT_SENDS)


@dataclass(slots=True)
class Upstream:
    """An upstream and what this daemon knows of it.

    :param region: region of its data centre, empty if it is not known.
    :param running: requests that this daemon has there.
    :param other_requests: requests of other daemons when it told its load.
    :param consecutive_failures: failed attempts since the last good one.
    :param ejected_until: time since boot until which it is ejected.
    :param consecutive_timeouts: answers in a row that did not come in time.
    :param latency_samples: readings of its token latency.
    :param mean_token_latency: running mean of the time between two events.
    :param versions: weight versions seen in answers, newer than registered.
    :param unavailable_until: models that it refuses for now, and until when.
    :param keepalive_until: until when a connection to it is kept open.
    :param peer_items: running items of other daemons, as they told themselves.
    :param peer_items_until: until when that says more than the upstream's word.
    :param evacuated: whether operators evacuate its data centre.
    :param cold_until: time since boot until which it takes few requests.
    :param recent_sends: when this daemon sent it the last requests, oldest
        first.
    """

    member: PoolMember
    region: str = ''
    running: int = 0
    other_requests: int = 0
    other_requests_at: timedelta = ZERO
    consecutive_failures: int = 0
    ejected_until: timedelta = ZERO
    consecutive_timeouts: int = 0
    latency_samples: int = 0
    mean_token_latency: float = 0
    versions: dict[str, int] = field(default_factory=dict)
    unavailable_until: dict[str, timedelta] = field(default_factory=dict)
    keepalive_until: timedelta = ZERO
    peer_items: int = 0
    peer_items_until: timedelta = ZERO
    evacuated: bool = False
    cold_until: timedelta = ZERO
    recent_sends: deque[timedelta] = field(default_factory=_build_history)

    @property
    def name(self) -> str:
        """Id of the upstream."""
        return self.member.name

    @property
    def token_latency(self) -> float:
        """Mean time in seconds between two events, 0 if unknown."""
        if self.latency_samples < MIN_LATENCY_READINGS:
            return 0
        return self.mean_token_latency

    @property
    def run_id(self) -> tuple[str, int]:
        """Name of this run of the upstream."""
        return self.member.name, self.member.started

    def count_load(self, now: timedelta) -> int:
        """Count the requests that it has, as far as is known.

        What an upstream says is as old as its last answer here; daemons that
        run batches tell each other at once.
        """
        if now < self.peer_items_until:
            return self.running + self.peer_items
        if now - self.other_requests_at > REPORT_TTL:
            return self.running
        return self.running + self.other_requests

    def find_version(self, model: str) -> int:
        """Tell the newest weight version that it is known to hold."""
        registered = self.member.versions.get(model, 0)
        return max(registered, self.versions.get(model, 0))

    def can_run(self, model: str, oldest: int, now: timedelta) -> bool:
        """Tell whether it takes items of a model.

        :param oldest: oldest weight version that may make their tokens.
        """
        if not self.is_available(now) or self.find_version(model) < oldest:
            return False
        return self.unavailable_until.get(model, ZERO) <= now

    def is_allowed(self, allowed: AllowedRegions) -> bool:
        """Tell whether it stands in one of the regions."""
        return allowed is None or self.region in allowed

    @property
    def accepts_work(self) -> bool:
        """Whether operators and the upstream itself let it take new work."""
        return not self.member.leaving and not self.evacuated

    def is_available(self, now: timedelta) -> bool:
        """Tell whether it may be given work."""
        return self.accepts_work and now >= self.ejected_until

    def is_cold(self, now: timedelta) -> bool:
        """Tell whether it started so recently that it takes few requests."""
        return now < self.cold_until

    def count_sent(self, since: timedelta) -> int:
        """Count the requests that this daemon sent it since a time."""
        return sum(sent > since for sent in self.recent_sends)
