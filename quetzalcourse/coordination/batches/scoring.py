"""Scores the complete texts of items by calls to a plain service.

The items of several steps end within the same second, each with a call to a
service of few slots that also serves interactive requests. If all calls were
sent at once, they would fill those slots and human users would queue behind
them. So a share of the slots is left to human users; calls wait here for a
free slot, and the text is kept meanwhile instead of being generated again.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Protocol

from quetzalcourse.coordination.batches.item_run import (
    MAX_DOUBLINGS,
    ItemState,
)
from quetzalcourse.coordination.forwarding.attempt_timeouts import (
    AttemptTimeouts,
)
from quetzalcourse.coordination.forwarding.route_table import choose_service
from quetzalcourse.coordination.tasks import BackgroundTasks
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.log import get_log

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Sequence

    from quetzalcourse.coordination.batches.batch_run import BatchRun
    from quetzalcourse.coordination.batches.item_run import ItemRun
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.residency import Residency
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.quarantine.quarantine import Quarantine
    from quetzalcourse.state.batches import ScoringCall
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.routing import Route

# Share of an upstream's slots that scoring calls may use; the rest is left to
# human users.
MAX_SCORING_SHARE = 2 / 3
# Timeout of a scoring call until the latency of its route has been measured.
DEFAULT_SCORING_TIMEOUT = timedelta(milliseconds=500)
log = get_log('scoring')


class ScoringState(enum.StrEnum):
    """How a scoring call ended."""

    scored = 'scored'
    not_run = 'not_run'
    failed = 'failed'
    lost = 'lost'
    late = 'late'


ANSWERED = frozenset((ScoringState.scored, ScoringState.failed))


@dataclass(frozen=True, slots=True)
class ScoringOutcome:
    """Outcome of a scoring call.

    :param score: empty unless the text was scored.
    :param reason: short reason if it was not.
    :param crashed: whether its upstream crashed meanwhile.
    """

    state: ScoringState
    score: str = ''
    reason: str = ''
    crashed: bool = False


class Scorer(Protocol):
    """Makes scoring calls."""

    async def score(
        self,
        call: ScoringCall,
        fingerprint: str,
        upstream: Upstream,
        timeout: timedelta,
    ) -> ScoringOutcome:
        """Make a call, without retries.

        :param fingerprint: identical for all calls that repeat this one.
        :param timeout: time after which the call is abandoned.
        """


class ItemScoring:
    """Schedules scoring calls and handles their outcomes."""

    def __init__(
        self,
        scorer: Scorer,
        pool: Pool,
        residency: Residency,
        quarantine: Quarantine,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Initialise without calls."""
        self._residency = residency
        self._quarantine = quarantine
        self._scorer = scorer
        self._pool = pool
        self._routes = residency.routes
        self._clock = clock
        self._counters = counters
        self._on_end: Callable[[], None] = lambda: None
        self._timeouts = AttemptTimeouts()
        self._tasks = BackgroundTasks('scoring')

    def on_end(self, listener: Callable[[], None]) -> None:
        """Set the listener that is called whenever a call ends."""
        self._on_end = listener

    def begin(self, batch: BatchRun, run: ItemRun) -> None:
        """Start the scoring call of an item if an upstream has capacity."""
        call = run.item.scoring
        assert call is not None  # noqa: S101
        try:
            route = self._routes.match(call.host, call.path)
        except RefusedError as error:
            # The next manifest may bring the route back, so that the item is
            # retried and not abandoned.
            self._record_failure(batch, run, '', error.refusal.code.value)
            return
        service = choose_service(route, call.id)
        allowed = self._residency.find_allowed(route, batch.head.client_account)
        upstream = choose_upstream(
            [
                one
                for one in self._pool.sample_service(service)
                if one.is_allowed(allowed)
                and self._pool.cold_starts.admits(one)
            ],
            self._clock.elapsed(),
            run.avoided,
        )
        if upstream is None:
            return
        run.state = ItemState.scoring
        run.upstream = upstream.name
        slot = self._pool.take_slot(upstream)
        self._pool.on_send(upstream)
        run.task = self._tasks.start(self._score(batch, run, upstream, route))
        slot.assign(run.task)
        run.task.add_done_callback(partial(self._on_call_done, run))

    def _on_call_done(self, run: ItemRun, task: asyncio.Task[None]) -> None:
        if run.task is task:
            run.task = None
            # An item that was abandoned meanwhile keeps that state.
            if run.state is ItemState.scoring:
                run.state = ItemState.unscored
        self._on_end()

    async def _score(
        self,
        batch: BatchRun,
        run: ItemRun,
        upstream: Upstream,
        route: Route,
    ) -> None:
        call = run.item.scoring
        assert call is not None  # noqa: S101
        began = self._clock.elapsed()
        wait = compute_timeout(route, run.failed_calls, self._timeouts)
        timeout = min(wait, batch.expires_at - began)
        outcome = await self._scorer.score(
            call, run.scoring_fingerprint, upstream, timeout
        )
        took = self._clock.elapsed() - began
        self._record_outcome(route, outcome, took)
        if outcome.state in ANSWERED:
            self._quarantine.on_answer(run.scoring_fingerprint, upstream.run_id)
        if outcome.state is ScoringState.scored:
            log.info(
                'Item scored.',
                batch=batch.head.id,
                item=run.item.id,
                call=call.id,
                upstream=upstream.name,
                seconds=round(took.total_seconds(), 3),
            )
            batch.finish(run, run.build_completed_result(outcome.score))
            return
        run.avoided = upstream.name
        self._record_failure(batch, run, upstream.name, outcome.reason)
        if outcome.crashed:
            run.on_crash(self._clock.elapsed())
        if outcome.state is ScoringState.failed:
            self._count_failed_score(batch, run, route)

    def _record_outcome(
        self,
        route: Route,
        outcome: ScoringOutcome,
        took: timedelta,
    ) -> None:
        self._counters.observe(
            'scoring_call', took.total_seconds(), state=outcome.state.value
        )
        if outcome.state in ANSWERED:
            self._timeouts.on_answer(route.name, took)
        elif outcome.state is ScoringState.late:
            self._timeouts.on_timeout(route.name, took)

    def _count_failed_score(
        self, batch: BatchRun, run: ItemRun, route: Route
    ) -> None:
        run.scoring_failures += 1
        limit = max(route.max_attempts, batch.head.max_attempts)
        if run.scoring_failures >= limit:
            log.warning(
                'Item abandoned: too many failed scoring calls.',
                batch=batch.head.id,
                item=run.item.id,
                failures=run.scoring_failures,
            )
            batch.finish(run, run.build_abandoned_result())

    def _record_failure(
        self,
        batch: BatchRun,
        run: ItemRun,
        upstream: str,
        reason: str,
    ) -> None:
        run.back_off(self._clock.elapsed())
        self._counters.add('scoring_calls_failed', reason=reason)
        log.info(
            'Scoring call failed.',
            batch=batch.head.id,
            item=run.item.id,
            call=run.item.scoring.id if run.item.scoring else '',
            fingerprint=run.scoring_fingerprint,
            upstream=upstream,
            reason=reason,
            failures=run.scoring_failures,
        )


def choose_upstream(
    upstreams: Sequence[Upstream],
    now: timedelta,
    avoided: str,
) -> Upstream | None:
    """Choose the least loaded upstream for a scoring call.

    :param avoided: upstream where the call has just failed; the last choice.
    :returns: ``None`` if no upstream has capacity for scoring calls.
    """
    able = [one for one in upstreams if one.accepts_work]
    usable = [one for one in able if one.is_available(now)] or able
    fit = [one for one in usable if has_capacity(one, now)]
    return min(
        fit,
        key=lambda one: (
            one.name == avoided,
            one.ejected_until if one.ejected_until > now else timedelta(0),
            one.consecutive_failures > 0,
            one.count_load(now) / one.member.slots,
        ),
        default=None,
    )


def has_capacity(upstream: Upstream, now: timedelta) -> bool:
    """Tell whether an upstream has a slot left for scoring calls."""
    limit = max(int(upstream.member.slots * MAX_SCORING_SHARE), 1)
    refusing = upstream.unavailable_until.get('', timedelta(0)) > now
    return upstream.count_load(now) < limit and not refusing


def compute_timeout(
    route: Route, failed_calls: int, timeouts: AttemptTimeouts
) -> timedelta:
    """Compute the timeout of a call, doubled with each failed one.

    :param failed_calls: consecutive calls before it without a score.
    """
    longest = route.target_latency or DEFAULT_SCORING_TIMEOUT
    first = timeouts.find_timeout(route.name, longest)
    # A text that waits for minutes has hundreds of failed calls behind it;
    # as many doublings would overflow the duration and end its calls.
    doublings = min(failed_calls, MAX_DOUBLINGS)
    return min(first * 2**doublings, max(route.timeout, longest))
