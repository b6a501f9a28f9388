"""State of one upstream as this daemon sees it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.pace import UpstreamPace
    from quetzalcourse.state.pool import PoolMember
    from quetzalcourse.state.routing import AllowedRegions

# Load reports older than this are ignored.
REPORT_TTL = timedelta(seconds=1.5)
# Samples needed before the mean token latency is used.
MIN_LATENCY_SAMPLES = 12
# Send times that are kept for each upstream.
MAX_RECENT_SENDS = 64
ZERO = timedelta(0)


def _build_history() -> deque[timedelta]:
    return deque(maxlen=MAX_RECENT_SENDS)


@dataclass(slots=True)
class Upstream:
    """An upstream: its registration, health and load.

    All points in time are given as time since boot.

    :param region: region of its data centre, empty if unknown.
    :param running: requests of this daemon that it runs.
    :param other_requests: requests of other daemons, by its last load report.
    :param other_requests_at: when that load report came.
    :param consecutive_failures: failed attempts since the last successful one.
    :param ejected_until: end of its ejection from load balancing.
    :param consecutive_timeouts: attempts in a row that timed out.
    :param latency_samples: number of samples of its token latency.
    :param mean_token_latency: running mean of the time between two events of
        a stream, in seconds.
    :param versions: newest weight version of each model seen in responses;
        may be newer than the registered ones.
    :param unavailable_until: until when it is expected to refuse each model.
    :param keepalive_until: until when an idle connection to it stays open.
    :param peer_items: items that other daemons run there, as they reported.
    :param peer_items_until: until when these reports take precedence over the
        upstream's own load report.
    :param evacuated: whether operators evacuate its data centre.
    :param cold_until: end of its cold start, during which its rate is limited.
    :param recent_sends: times of this daemon's last requests to it, oldest
        first.
    :param pace: how long work takes there; ``None`` if its service does not
        report that, or the daemon is not to rank by it.
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
    pace: UpstreamPace | None = None

    @property
    def name(self) -> str:
        """Id of the upstream."""
        return self.member.name

    @property
    def token_latency(self) -> float:
        """Time between two events in seconds, 0 with too few samples."""
        if self.pace is not None:
            return self.pace.token_latency
        if self.latency_samples < MIN_LATENCY_SAMPLES:
            return 0
        return self.mean_token_latency

    @property
    def run_id(self) -> tuple[str, int]:
        """Name and start of this run, which identify it across restarts."""
        return self.member.name, self.member.started

    def count_load(self, now: timedelta) -> int:
        """Estimate the number of requests that it has.

        Its own load report is as old as its last response to this daemon;
        daemons that run batches report their items to each other immediately.
        """
        if now < self.peer_items_until:
            return self.running + self.peer_items
        if now - self.other_requests_at > REPORT_TTL:
            return self.running
        return self.running + self.other_requests

    def find_version(self, model: str) -> int:
        """Return the newest weight version that it is known to hold."""
        registered = self.member.versions.get(model, 0)
        return max(registered, self.versions.get(model, 0))

    def can_run(self, model: str, oldest: int, now: timedelta) -> bool:
        """Return whether it can run items of a model.

        :param oldest: oldest weight version that may generate their tokens.
        """
        if not self.is_available(now) or self.find_version(model) < oldest:
            return False
        return self.unavailable_until.get(model, ZERO) <= now

    def is_allowed(self, allowed: AllowedRegions) -> bool:
        """Return whether it is in one of the regions."""
        return allowed is None or self.region in allowed

    @property
    def accepts_work(self) -> bool:
        """Whether it is neither draining nor evacuated."""
        return not self.member.leaving and not self.evacuated

    def is_available(self, now: timedelta) -> bool:
        """Return whether it accepts work and is not ejected."""
        return self.accepts_work and now >= self.ejected_until

    def is_cold(self, now: timedelta) -> bool:
        """Return whether it is in its cold start and its rate is limited."""
        return now < self.cold_until

    def count_sent(self, since: timedelta) -> int:
        """Count the requests that this daemon sent to it since a time."""
        return sum(sent > since for sent in self.recent_sends)
