"""Upstreams of all services: their load, their health, their weights."""

from __future__ import annotations

import random
from datetime import timedelta
from types import MappingProxyType
from typing import TYPE_CHECKING

from quetzalcourse.coordination.forwarding.cold_start import NoColdStartLimits
from quetzalcourse.coordination.forwarding.upstream import ZERO, Upstream
from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from quetzalcourse.coordination.forwarding.cold_start import ColdStartPolicy
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.pool import LoadReport, PoolMember
    from quetzalcourse.state.routing import AllowedRegions

# Ejection after a failed attempt, doubled with each further one.
FAILURE_BACKOFF = timedelta(milliseconds=500)
MAX_FAILURE_BACKOFF = timedelta(seconds=4)
# Weight of a new reading in the running mean of the token latency.
LATENCY_WEIGHT = 0.03
# A single timeout may be a long request; this many in a row eject.
MAX_CONSECUTIVE_TIMEOUTS = 2
# Time for which an upstream that refuses a model gets no more of it.
LOADING_BACKOFF = timedelta(milliseconds=300)
# Candidates that are scored for one request, drawn at random if there are
# more.
MAX_CANDIDATES = 64
# Below this share of its slots an upstream with an open connection goes first,
# which saves opening another one.
KEEPALIVE_MAX_LOAD = 0.5
# Failures after which an upstream may have restarted unnoticed.
RESTART_REASONS = frozenset(('not_sent',))
NO_REGIONS: Mapping[str, str] = MappingProxyType({})
log = get_log('pool')


class Pool:
    """Every upstream that is registered.

    :param data_centre: where this daemon stands.
    :param regions: region of each data centre.

    ``run_listeners`` are called with each run of an upstream that registers.
    """

    def __init__(
        self,
        data_centre: str,
        clock: Clock,
        counters: Counters,
        regions: Mapping[str, str] = NO_REGIONS,
    ) -> None:
        """Begin without upstreams."""
        self._regions = regions
        self._data_centre = data_centre
        self._clock = clock
        self._counters = counters
        self._upstreams: dict[str, Upstream] = {}
        self._services: dict[str, dict[str, Upstream]] = {}
        self._random = random.Random()
        self.cold_starts: ColdStartPolicy = NoColdStartLimits()
        self.registration_listeners: list[Callable[[Upstream], None]] = []
        self._evacuated: set[str] = set()
        self._are_entries_current: Callable[[], bool] = _always

    def set_entry_check(self, are_current: Callable[[], bool]) -> None:
        """Ask whether a restarted upstream would be known by its entry."""
        self._are_entries_current = are_current

    def replace(self, member: PoolMember) -> None:
        """Take an entry that is new or changed."""
        known = self._upstreams.get(member.name)
        if known is None or _is_other_run(known.member, member):
            self._forget(member.name)
            known = Upstream(member)
            self._keep(known)
            self._log(member, 'Upstream registered.')
            self._warm_up(known, member.cold_for)
            for listener in self.registration_listeners:
                listener(known)
            return
        if known.member.service != member.service:
            self._forget(member.name)
            known.member = member
            self._keep(known)
        if known.member.leaving != member.leaving:
            self._log(member, 'Upstream leaves.')
        known.member = member
        self._locate(known)
        self._warm_up(known, member.cold_for)

    def remove(self, name: str) -> None:
        """Forget an upstream that is gone."""
        known = self._forget(name)
        if known is not None:
            self._log(known.member, 'Upstream is gone.')

    def find(self, name: str) -> Upstream | None:
        """Find an upstream by its id."""
        return self._upstreams.get(name)

    def list_service(self, service: str) -> list[Upstream]:
        """List the upstreams of a service."""
        return list(self._services.get(service, {}).values())

    def on_evacuation(self, data_centre: str) -> None:
        """Give the upstreams of a data centre no new work."""
        self._evacuated.add(data_centre)
        for upstream in self._list_data_centre(data_centre):
            upstream.evacuated = True

    def on_evacuation_end(self, data_centre: str) -> None:
        """Give the upstreams of a data centre work again, as cold ones."""
        self._evacuated.discard(data_centre)
        for upstream in self._list_data_centre(data_centre):
            upstream.evacuated = False
            self._warm_up(upstream, self.cold_starts.find_duration(upstream))

    def count_running(self) -> dict[str, int]:
        """Count this daemon's requests at each upstream that has any."""
        return {
            upstream.name: upstream.running
            for upstream in self._upstreams.values()
            if upstream.running
        }

    def sample_service(self, service: str) -> list[Upstream]:
        """List upstreams of a service, no more than are worth weighing."""
        upstreams = self.list_service(service)
        if len(upstreams) <= MAX_CANDIDATES:
            return upstreams
        return self._random.sample(upstreams, MAX_CANDIDATES)

    def choose(
        self,
        service: str,
        avoided: Collection[str] = (),
        silent: Collection[str] = (),
        allowed: AllowedRegions = None,
    ) -> Upstream | None:
        """Choose the upstream for a request, the least loaded one.

        One that rests is tried only if all do: refusing every caller would
        be worse than an attempt that may fail.

        :param avoided: ids of upstreams that failed this request.
        :param silent: data centres from which it got no answer. A cut
            between data centres silences all upstreams behind it, and the
            next attempt may be the last one that is allowed; it goes where
            no cut lies between, to the own data centre first.
        :param allowed: regions where the request may run.
        """
        now = self._clock.elapsed()
        fit = [
            upstream
            for upstream in self.sample_service(service)
            if upstream.name not in avoided
            and upstream.accepts_work
            and upstream.is_allowed(allowed)
            and self.cold_starts.admits(upstream)
        ]
        is_open = [upstream for upstream in fit if upstream.is_available(now)]
        if not is_open:
            return min(fit, key=lambda one: one.ejected_until, default=None)
        return min(
            is_open,
            key=lambda one: (
                _rank_distance(one, self._data_centre, silent),
                self._rank(one, now),
            ),
        )

    def _rank(
        self,
        upstream: Upstream,
        now: timedelta,
    ) -> tuple[int, bool, float, bool, float]:
        share = upstream.count_load(now) / upstream.member.slots
        near = upstream.member.data_centre == self._data_centre
        kept = now < upstream.keepalive_until and share < KEEPALIVE_MAX_LOAD
        doubt = 2 * (
            upstream.consecutive_failures > 0
        ) + self.cold_starts.is_cold(upstream)
        return (doubt, not kept, share, not near, self._random.random())

    def on_start(self, upstream: Upstream) -> None:
        """Count a request that is sent, or a slot that is kept for one."""
        upstream.running += 1

    def on_send(self, upstream: Upstream) -> None:
        """Note when a request is sent."""
        upstream.recent_sends.append(self._clock.elapsed())

    def on_end(self, upstream: Upstream) -> None:
        """Count a request that ended."""
        upstream.running -= 1

    def on_idle_connection(
        self, upstream: Upstream, duration: timedelta
    ) -> None:
        """Learn that a connection to an upstream is open and unused."""
        upstream.keepalive_until = self._clock.elapsed() + duration

    def on_load(self, upstream: Upstream, load: LoadReport | None) -> None:
        """Learn the load that an upstream told with an answer."""
        if load is not None:
            upstream.other_requests = max(0, load.total - upstream.running)
            upstream.other_requests_at = self._clock.elapsed()

    def on_success(self, upstream: Upstream) -> None:
        """Learn that an upstream served a request."""
        if upstream.consecutive_failures:
            self._log(upstream.member, 'Upstream serves again.')
        upstream.consecutive_failures = 0
        upstream.consecutive_timeouts = 0
        upstream.ejected_until = ZERO

    def on_failure(self, upstream: Upstream, reason: str) -> None:
        """Learn that an attempt failed, and eject the upstream."""
        backoff = min(
            FAILURE_BACKOFF * 2**upstream.consecutive_failures,
            MAX_FAILURE_BACKOFF,
        )
        upstream.consecutive_failures = min(
            upstream.consecutive_failures + 1, 5
        )
        upstream.ejected_until = self._clock.elapsed() + backoff
        if reason in RESTART_REASONS and not self._are_entries_current():
            cold_for = self.cold_starts.find_duration(upstream)
            self._warm_up(upstream, backoff + cold_for)
        self._counters.add('upstream_failures', reason=reason)
        log.warning(
            'Upstream ejected.',
            upstream=upstream.name,
            peer=upstream.member.address,
            reason=reason,
            seconds=backoff.total_seconds(),
        )

    def on_timeout(self, upstream: Upstream) -> None:
        """Learn that an answer did not come in time."""
        upstream.consecutive_timeouts += 1
        if upstream.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
            self.on_failure(upstream, 'late')

    def on_model_refused(self, upstream: Upstream, model: str) -> None:
        """Learn that an upstream refuses a model, or all work, for now."""
        upstream.unavailable_until[model] = (
            self._clock.elapsed() + LOADING_BACKOFF
        )

    def on_loading(
        self,
        upstream: Upstream,
        model: str,
        duration: timedelta,
    ) -> None:
        """Learn that an upstream refuses a model while it loads weights."""
        until = self._clock.elapsed() + duration
        upstream.unavailable_until[model] = max(
            upstream.unavailable_until.get(model, ZERO), until
        )

    def on_version(self, upstream: Upstream, model: str, version: int) -> None:
        """Learn the weight version that an answer was made with."""
        if version > upstream.find_version(model):
            upstream.versions[model] = version
            # What it refused while it loaded it takes now.
            upstream.unavailable_until.pop(model, None)

    def on_token_latency(self, upstream: Upstream, seconds: float) -> None:
        """Learn the time between two events of a stream."""
        upstream.latency_samples += 1
        known = upstream.mean_token_latency or seconds
        upstream.mean_token_latency = known + (seconds - known) * LATENCY_WEIGHT

    def _list_data_centre(self, data_centre: str) -> list[Upstream]:
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.member.data_centre == data_centre
        ]

    def _warm_up(self, upstream: Upstream, duration: timedelta) -> None:
        """Treat an upstream as cold for some time."""
        if not duration:
            return
        now = self._clock.elapsed()
        if not upstream.is_cold(now):
            log.info(
                'Upstream is cold.',
                upstream=upstream.name,
                data_centre=upstream.member.data_centre,
                seconds=duration.total_seconds(),
            )
        upstream.cold_until = max(upstream.cold_until, now + duration)

    def _locate(self, upstream: Upstream) -> None:
        data_centre = upstream.member.data_centre
        upstream.region = self._regions.get(data_centre, '')
        upstream.evacuated = data_centre in self._evacuated

    def _keep(self, upstream: Upstream) -> None:
        member = upstream.member
        self._locate(upstream)
        self._upstreams[member.name] = upstream
        self._services.setdefault(member.service, {})[member.name] = upstream

    def _forget(self, name: str) -> Upstream | None:
        known = self._upstreams.pop(name, None)
        if known is not None:
            self._services[known.member.service].pop(name)
        return known

    def _log(self, member: PoolMember, sentence: str) -> None:
        log.info(
            sentence,
            upstream=member.name,
            peer=member.address,
            data_centre=member.data_centre,
        )


def _is_other_run(known: PoolMember, member: PoolMember) -> bool:
    """Tell whether an entry is of another run, of which nothing is known."""
    before = (known.address, known.started)
    return before != (member.address, member.started)


def _always() -> bool:
    """Tell that entries are current where nobody follows them."""
    return True


def _rank_distance(
    upstream: Upstream,
    own: str,
    silent: Collection[str],
) -> int:
    """Rank an upstream after an attempt that got no answer.

    :param own: data centre of this daemon.
    """
    if not silent:
        return 0
    place = upstream.member.data_centre
    return 2 if place in silent else int(place != own)
