"""Pool of the upstreams of all services, with their load and health."""

from __future__ import annotations

import random
from datetime import timedelta
from types import MappingProxyType
from typing import TYPE_CHECKING

from quetzalcourse.coordination.forwarding.cold_start import NoColdStartLimits
from quetzalcourse.coordination.forwarding.measured_pace import MeasuredPace
from quetzalcourse.coordination.forwarding.response_estimate import (
    choose_fastest,
)
from quetzalcourse.coordination.forwarding.upstream import ZERO, Upstream
from quetzalcourse.coordination.forwarding.upstream_slot import UpstreamSlot
from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from quetzalcourse.coordination.forwarding.cold_start import ColdStartPolicy
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.pool import LoadReport, PoolMember
    from quetzalcourse.state.routing import AllowedRegions

# Ejection time after a failed attempt, doubled with each further failure.
BASE_EJECTION_TIME = timedelta(milliseconds=500)
MAX_EJECTION_TIME = timedelta(seconds=4)
# Weight of a new sample in the running mean of the token latency.
LATENCY_WEIGHT = 0.03
# A single timeout may be a long request; this many in a row eject an upstream.
MAX_CONSECUTIVE_TIMEOUTS = 2
# How long an upstream that refused a model gets no further requests for it.
MODEL_REFUSAL_BACKOFF = timedelta(milliseconds=300)
# Upstreams that are ranked for one request, a random sample if there are more.
MAX_CANDIDATES = 64
# Upstreams with an open connection are preferred up to this share of their
# slots, which saves opening another connection.
KEEPALIVE_MAX_LOAD = 0.5
# Failures after which an upstream may have restarted unnoticed.
RESTART_REASONS = frozenset(('not_sent',))
NO_REGIONS: Mapping[str, str] = MappingProxyType({})
log = get_log('pool')


class Pool:
    """Registered upstreams and the load balancing among them.

    ``registration_listeners`` are called whenever a run of an upstream
    registers.

    :param data_centre: data centre of this daemon.
    :param regions: region of each data centre.
    :param measured_pace: whether upstreams of services that report how long
        work takes there are ranked by it.
    """

    def __init__(
        self,
        data_centre: str,
        clock: Clock,
        counters: Counters,
        regions: Mapping[str, str] = NO_REGIONS,
        *,
        measured_pace: bool = False,
    ) -> None:
        """Start without upstreams."""
        self._regions = regions
        self._data_centre = data_centre
        self._clock = clock
        self._counters = counters
        self._upstreams: dict[str, Upstream] = {}
        self._services: dict[str, dict[str, Upstream]] = {}
        self._random = random.Random()
        self.pace = MeasuredPace(enabled=measured_pace)
        self.cold_starts: ColdStartPolicy = NoColdStartLimits()
        self.registration_listeners: list[Callable[[Upstream], None]] = []
        self._evacuated: set[str] = set()
        self._are_entries_current: Callable[[], bool] = _always

    def set_entry_check(self, are_current: Callable[[], bool]) -> None:
        """Set the check whether registration entries are up to date.

        While they are not, an upstream may restart without a new entry.
        """
        self._are_entries_current = are_current

    def replace(self, member: PoolMember) -> None:
        """Apply a new or changed registration."""
        upstream = self._upstreams.get(member.name)
        if upstream is None or _is_other_run(upstream.member, member):
            self._discard(member.name)
            upstream = Upstream(member)
            self._index(upstream)
            self._log(member, 'Upstream registered.')
            self._mark_cold(upstream, member.cold_for)
            for listener in self.registration_listeners:
                listener(upstream)
            return
        if upstream.member.service != member.service:
            self._discard(member.name)
            upstream.member = member
            self._index(upstream)
        if upstream.member.leaving != member.leaving:
            self._log(member, 'Upstream draining state changed.')
        upstream.member = member
        self._update_location(upstream)
        self._mark_cold(upstream, member.cold_for)

    def remove(self, name: str) -> None:
        """Remove an upstream whose registration is gone."""
        upstream = self._discard(name)
        if upstream is not None:
            self._log(upstream.member, 'Upstream is gone.')

    def find(self, name: str) -> Upstream | None:
        """Find an upstream by its id."""
        return self._upstreams.get(name)

    def list_service(self, service: str) -> list[Upstream]:
        """List the upstreams of a service."""
        return list(self._services.get(service, {}).values())

    def on_evacuation(self, data_centre: str) -> None:
        """Exclude the upstreams of a data centre from new work."""
        self._evacuated.add(data_centre)
        for upstream in self._list_data_centre(data_centre):
            upstream.evacuated = True

    def on_evacuation_end(self, data_centre: str) -> None:
        """Include the upstreams of a data centre again, as cold ones."""
        self._evacuated.discard(data_centre)
        for upstream in self._list_data_centre(data_centre):
            upstream.evacuated = False
            self._mark_cold(upstream, self.cold_starts.find_duration(upstream))

    def list_running(self) -> list[Upstream]:
        """List the upstreams that have requests of this daemon."""
        return [one for one in self._upstreams.values() if one.running]

    def count_running(self) -> dict[str, int]:
        """Count this daemon's requests at each upstream that has any."""
        return {one.name: one.running for one in self.list_running()}

    def sample_service(self, service: str) -> list[Upstream]:
        """List at most :data:`MAX_CANDIDATES` random upstreams of a service."""
        upstreams = self.list_service(service)
        if len(upstreams) <= MAX_CANDIDATES:
            return upstreams
        return self._random.sample(upstreams, MAX_CANDIDATES)

    def choose(
        self,
        service: str,
        avoided: Collection[str] = (),
        unresponsive: Collection[str] = (),
        allowed: AllowedRegions = None,
    ) -> Upstream | None:
        """Choose the least loaded upstream for a request, or the fastest.

        Ejected upstreams are tried only if all are ejected: refusing every
        caller would be worse than an attempt that may fail.

        :param avoided: ids of upstreams that failed this request.
        :param unresponsive: data centres from which it got no response. A
            partition between data centres makes all upstreams behind it
            unresponsive, and the next attempt may be the last one, so it goes
            to another data centre, preferably this daemon's own.
        :param allowed: regions where the request may run.
        """
        now = self._clock.elapsed()
        candidates = [
            upstream
            for upstream in self.sample_service(service)
            if upstream.name not in avoided
            and upstream.accepts_work
            and upstream.is_allowed(allowed)
            and self.cold_starts.admits(upstream)
        ]
        available = [
            upstream for upstream in candidates if upstream.is_available(now)
        ]
        if not available:
            return min(
                candidates,
                key=lambda upstream: upstream.ejected_until,
                default=None,
            )
        if not self.pace.is_known(service):
            return min(
                available,
                key=lambda upstream: (
                    _rank_distance(upstream, self._data_centre, unresponsive),
                    self._rank(upstream, now),
                ),
            )
        ranks = {
            upstream.name: (
                _rank_distance(upstream, self._data_centre, unresponsive),
                rank_health(upstream, self.cold_starts),
            )
            for upstream in available
        }
        best = min(ranks.values())
        equal = [one for one in available if ranks[one.name] == best]
        return choose_fastest(equal, self._data_centre, now, self._random)

    def _rank(
        self,
        upstream: Upstream,
        now: timedelta,
    ) -> tuple[int, bool, float, bool, float]:
        load = upstream.count_load(now) / upstream.member.slots
        local = upstream.member.data_centre == self._data_centre
        connected = now < upstream.keepalive_until and load < KEEPALIVE_MAX_LOAD
        return (
            rank_health(upstream, self.cold_starts),
            not connected,
            load,
            not local,
            self._random.random(),
        )

    def take_slot(self, upstream: Upstream) -> UpstreamSlot:
        """Count a request that is sent, or will be, until it is released."""
        return UpstreamSlot(upstream)

    def on_send(self, upstream: Upstream) -> None:
        """Record the time of a request that is sent."""
        upstream.recent_sends.append(self._clock.elapsed())

    def on_idle_connection(
        self, upstream: Upstream, duration: timedelta
    ) -> None:
        """Record that an idle connection to an upstream stays open.

        :param duration: time until the connection is closed.
        """
        upstream.keepalive_until = self._clock.elapsed() + duration

    def on_load(self, upstream: Upstream, load: LoadReport | None) -> None:
        """Record the load report of a response, if it has one."""
        if load is None:
            return
        now = self._clock.elapsed()
        upstream.other_requests = max(0, load.total - upstream.running)
        upstream.other_requests_at = now
        if load.slowdown is not None:
            peers = self.list_service(upstream.member.service)
            self.pace.on_report(upstream, load.slowdown, peers, now)

    def on_success(self, upstream: Upstream) -> None:
        """Record that an upstream served a request, and end its ejection."""
        if upstream.consecutive_failures:
            self._log(upstream.member, 'Upstream recovered.')
        upstream.consecutive_failures = 0
        upstream.consecutive_timeouts = 0
        upstream.ejected_until = ZERO

    def on_failure(self, upstream: Upstream, reason: str) -> None:
        """Record that an attempt failed, and eject the upstream.

        :param reason: label of the failure in metrics and logs.
        """
        ejection = min(
            BASE_EJECTION_TIME * 2**upstream.consecutive_failures,
            MAX_EJECTION_TIME,
        )
        upstream.consecutive_failures = min(
            upstream.consecutive_failures + 1, 5
        )
        upstream.ejected_until = self._clock.elapsed() + ejection
        if reason in RESTART_REASONS and not self._are_entries_current():
            cold_for = self.cold_starts.find_duration(upstream)
            self._mark_cold(upstream, ejection + cold_for)
        self._counters.add('upstream_failures', reason=reason)
        log.warning(
            'Upstream ejected.',
            upstream=upstream.name,
            peer=upstream.member.address,
            reason=reason,
            seconds=ejection.total_seconds(),
        )

    def on_timeout(self, upstream: Upstream) -> None:
        """Record that an attempt timed out."""
        upstream.consecutive_timeouts += 1
        if upstream.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
            self.on_failure(upstream, 'late')

    def on_model_refused(self, upstream: Upstream, model: str) -> None:
        """Record that an upstream refused a request for a model, or all work.

        :param model: empty if it refuses all work for now.
        """
        upstream.unavailable_until[model] = (
            self._clock.elapsed() + MODEL_REFUSAL_BACKOFF
        )

    def on_loading(
        self,
        upstream: Upstream,
        model: str,
        duration: timedelta,
    ) -> None:
        """Record that an upstream refuses a model while it loads weights.

        :param duration: expected duration of the load.
        """
        until = self._clock.elapsed() + duration
        upstream.unavailable_until[model] = max(
            upstream.unavailable_until.get(model, ZERO), until
        )

    def on_version(self, upstream: Upstream, model: str, version: int) -> None:
        """Record the weight version that generated a response."""
        if version > upstream.find_version(model):
            upstream.versions[model] = version
            # The load that made it refuse the model has finished.
            upstream.unavailable_until.pop(model, None)

    def on_token_latency(self, upstream: Upstream, seconds: float) -> None:
        """Record the time between two events of a stream."""
        upstream.latency_samples += 1
        if upstream.pace is not None:
            upstream.pace.on_token_latency(seconds, self._clock.elapsed())
        mean = upstream.mean_token_latency or seconds
        upstream.mean_token_latency = mean + (seconds - mean) * LATENCY_WEIGHT

    def _list_data_centre(self, data_centre: str) -> list[Upstream]:
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.member.data_centre == data_centre
        ]

    def _mark_cold(self, upstream: Upstream, duration: timedelta) -> None:
        """Limit the rate of an upstream for some time."""
        if not duration:
            return
        now = self._clock.elapsed()
        if not upstream.is_cold(now):
            log.info(
                'Upstream cold start began.',
                upstream=upstream.name,
                data_centre=upstream.member.data_centre,
                seconds=duration.total_seconds(),
            )
        upstream.cold_until = max(upstream.cold_until, now + duration)

    def _update_location(self, upstream: Upstream) -> None:
        data_centre = upstream.member.data_centre
        upstream.region = self._regions.get(data_centre, '')
        upstream.evacuated = data_centre in self._evacuated

    def _index(self, upstream: Upstream) -> None:
        member = upstream.member
        self._update_location(upstream)
        self._upstreams[member.name] = upstream
        self.pace.on_registration(upstream)
        self._services.setdefault(member.service, {})[member.name] = upstream

    def _discard(self, name: str) -> Upstream | None:
        upstream = self._upstreams.pop(name, None)
        if upstream is not None:
            self._services[upstream.member.service].pop(name)
        return upstream

    def _log(self, member: PoolMember, event: str) -> None:
        log.info(
            event,
            upstream=member.name,
            peer=member.address,
            data_centre=member.data_centre,
        )


def _is_other_run(current: PoolMember, member: PoolMember) -> bool:
    """Return whether a registration is of another run of the upstream."""
    previous = (current.address, current.started)
    return previous != (member.address, member.started)


def rank_health(upstream: Upstream, cold_starts: ColdStartPolicy) -> int:
    """Rank an upstream by its health: 0 is healthy, failing ones are last."""
    failing = upstream.consecutive_failures > 0
    return 2 * failing + cold_starts.is_cold(upstream)


def _always() -> bool:
    """Return ``True``, for a pool that gets no registration entries."""
    return True


def _rank_distance(
    upstream: Upstream,
    own: str,
    unresponsive: Collection[str],
) -> int:
    """Rank an upstream after an attempt that got no response.

    :param own: data centre of this daemon.
    :param unresponsive: data centres without a response.
    """
    if not unresponsive:
        return 0
    data_centre = upstream.member.data_centre
    return 2 if data_centre in unresponsive else int(data_centre != own)
