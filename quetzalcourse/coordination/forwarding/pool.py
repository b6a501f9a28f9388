"""Upstreams of all services: their load, their health, their weights."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from collections.abc import Collection

    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.pool import LoadReport, PoolMember

# After a failed attempt an upstream rests, twice as long each time; a
# crashed one costs its callers little more than the first attempt then.
FAILURE_BACKOFF = timedelta(milliseconds=500)
MAX_FAILURE_BACKOFF = timedelta(seconds=4)
# Others' requests as an upstream told them; older word says nothing, since
# most requests are over by then.
REPORT_TTL = timedelta(seconds=1.5)
# Share of a new reading in the running mean of an upstream's latency.
# The six or more streams of an upstream in use give thirty readings within a
# fifth of a second; over fewer, one prompt that is read between looks like a
# slow latency.
LATENCY_WEIGHT = 0.03
# Readings before a latency says anything: the first ones of a batch vary
# with how its prompts are read between the tokens of others.
MIN_LATENCY_READINGS = 12
# One answer that was late may be a long request; this many in a row are an
# upstream that fell silent.
MAX_CONSECUTIVE_TIMEOUTS = 2
# How much longer a refusing upstream is left alone for one model, which is
# about a third of a load of weights.
LOADING_BACKOFF = timedelta(milliseconds=300)
# Upstreams among which one is chosen. The best of 64 drawn at random is
# about as good as the best of thousands, whose weighing for each item would
# take the time of the requests; ``make bench ONLY=rollouts`` measures both.
MAX_CANDIDATES = 64
# An upstream with an open connection is used first until half of its slots
# are taken: a daemon that has a request now and then would otherwise open a
# connection for each. Further requests go where there is more room.
KEPT_SHARE = 0.5
ZERO = timedelta(0)
log = get_log('pool')


@dataclass(slots=True)
class Upstream:
    """An upstream and what this daemon knows of it.

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
    """

    member: PoolMember
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

    def is_open(self, now: timedelta) -> bool:
        """Tell whether it may be given work."""
        return not self.member.leaving and now >= self.ejected_until


class Pool:
    """Every upstream that is registered.

    :param data_centre: where this daemon stands.
    """

    def __init__(
        self,
        data_centre: str,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Begin without upstreams."""
        self._data_centre = data_centre
        self._clock = clock
        self._counters = counters
        self._upstreams: dict[str, Upstream] = {}
        self._services: dict[str, dict[str, Upstream]] = {}
        self._random = random.Random()

    def replace(self, member: PoolMember) -> None:
        """Take an entry that is new or changed."""
        known = self._upstreams.get(member.name)
        if known is None or _is_other_run(known.member, member):
            self._forget(member.name)
            self._keep(Upstream(member))
            self._log(member, 'Upstream registered.')
            return
        if known.member.service != member.service:
            self._forget(member.name)
            known.member = member
            self._keep(known)
        if known.member.leaving != member.leaving:
            self._log(member, 'Upstream leaves.')
        known.member = member

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
    ) -> Upstream | None:
        """Choose the upstream for a request, the least loaded one.

        One that rests is tried only if all do: refusing every caller would
        be worse than an attempt that may fail.

        :param avoided: ids of upstreams that failed this request.
        :param silent: data centres from which it got no answer. A cut
            between data centres silences all upstreams behind it, and the
            next attempt may be the last one that is allowed; it goes where
            no cut lies between, to the own data centre first.
        """
        now = self._clock.elapsed()
        fit = [
            upstream
            for upstream in self.sample_service(service)
            if upstream.name not in avoided and not upstream.member.leaving
        ]
        is_open = [upstream for upstream in fit if upstream.is_open(now)]
        if not is_open:
            return min(fit, key=lambda one: one.ejected_until, default=None)
        return min(
            is_open,
            key=lambda one: (self._is_far(one, silent), self._rank(one, now)),
        )

    def _rank(
        self,
        upstream: Upstream,
        now: timedelta,
    ) -> tuple[bool, bool, float, bool, float]:
        share = upstream.count_load(now) / upstream.member.slots
        near = upstream.member.data_centre == self._data_centre
        doubtful = upstream.faults > 0
        kept = now < upstream.kept_until and share < KEPT_SHARE
        return (doubtful, not kept, share, not near, self._random.random())

    def _is_far(self, upstream: Upstream, silent: Collection[str]) -> int:
        """Rank an upstream after an attempt that got no answer."""
        if not silent:
            return 0
        place = upstream.member.data_centre
        if place in silent:
            return 2
        return int(place != self._data_centre)

    def on_start(self, upstream: Upstream) -> None:
        """Count a request that is sent."""
        upstream.running += 1

    def on_end(self, upstream: Upstream) -> None:
        """Count a request that ended."""
        upstream.running -= 1

    def on_kept(self, upstream: Upstream, duration: timedelta) -> None:
        """Learn that a connection to an upstream is open and unused."""
        upstream.kept_until = self._clock.elapsed() + duration

    def on_load(self, upstream: Upstream, load: LoadReport | None) -> None:
        """Learn the load that an upstream told with an answer."""
        if load is not None:
            upstream.others = max(0, load.total - upstream.running)
            upstream.others_at = self._clock.elapsed()

    def on_success(self, upstream: Upstream) -> None:
        """Learn that an upstream served a request."""
        if upstream.faults:
            self._log(upstream.member, 'Upstream serves again.')
        upstream.faults = 0
        upstream.consecutive_timeouts = 0
        upstream.ejected_until = ZERO

    def on_failure(self, upstream: Upstream, reason: str) -> None:
        """Learn that an attempt failed, and eject the upstream."""
        backoff = min(FAILURE_BACKOFF * 2**upstream.faults, MAX_FAILURE_BACKOFF)
        upstream.faults = min(upstream.faults + 1, 5)
        upstream.ejected_until = self._clock.elapsed() + backoff
        self._counters.add('upstream_failures', reason=reason)
        log.warning(
            'Upstream ejected.',
            upstream=upstream.name,
            peer=upstream.member.address,
            reason=reason,
            seconds=backoff.total_seconds(),
        )

    def on_late(self, upstream: Upstream) -> None:
        """Learn that an answer did not come in time."""
        upstream.consecutive_timeouts += 1
        if upstream.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
            self.on_failure(upstream, 'late')

    def on_busy(self, upstream: Upstream, model: str) -> None:
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
        upstream.latencies += 1
        known = upstream.mean_token_latency or seconds
        upstream.mean_token_latency = known + (seconds - known) * LATENCY_WEIGHT

    def _keep(self, upstream: Upstream) -> None:
        member = upstream.member
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
