"""Keeps requests that end upstreams from reaching any more of them."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from quetzalcourse.coordination.quarantine.isolation import Isolation
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.log import get_log
from quetzalcourse.state.quarantine import RequestState
from quetzalcourse.state.refusal import Refusal, RefusalCode

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from quetzalcourse.coordination.quarantine.records import QuarantineRecords
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.quarantine import UpstreamRun

    EndListener = Callable[[str, UpstreamRun, str], None]
    Listener = Callable[[str], None]

# Retry-After of a request whose ends of upstreams are not confirmed yet.
SUSPECT_BACKOFF = timedelta(milliseconds=500)
log = get_log('quarantine')


class Trials(Protocol):
    """Decides which daemon runs the trial of a quarantined request."""

    async def claim(self, fingerprint: str) -> bool:
        """Claim the next trial for this daemon."""

    def schedule_claim(self, fingerprint: str) -> None:
        """Claim it without waiting, for :meth:`Quarantine.allow_trial`."""


class NoTrials:
    """Lets no quarantined request run."""

    async def claim(self, _: str) -> bool:
        """Claim no trial."""
        return False

    def schedule_claim(self, _: str) -> None:
        """Claim no trial."""


class Quarantine:
    """Decides whether and where requests may be run.

    Used by whatever sends requests to upstreams: requests of callers, items
    of batches and scoring calls.
    """

    def __init__(self, records: QuarantineRecords, counters: Counters) -> None:
        """Begin without listeners."""
        self.records = records
        self.trials: Trials = NoTrials()
        self._counters = counters
        self._isolation = Isolation()
        self._end_listeners: list[EndListener] = []
        self._answer_listeners: list[Listener] = []
        self._quarantine_listeners: list[Listener] = []
        self._allowed: set[str] = set()
        self._seen_here: set[str] = set()

    def on_local_crash(self, listener: EndListener) -> None:
        """Call a listener with each end that this daemon sees itself."""
        self._end_listeners.append(listener)

    def on_local_answer(self, listener: Listener) -> None:
        """Call a listener when a request with a record is answered here."""
        self._answer_listeners.append(listener)

    def on_quarantine(self, listener: Listener) -> None:
        """Call a listener with each request that is quarantined.

        Only those count under which this daemon saw an upstream end: one of a
        few, where all learn of it at the same moment.
        """
        self._quarantine_listeners.append(listener)

    def may_begin(self, fingerprint: str) -> bool:
        """Tell whether a request may be sent to an upstream now."""
        state = self.records.find_state(fingerprint)
        if state is RequestState.sound:
            return True
        if state is RequestState.suspect:
            return not self._isolation.is_running(fingerprint)
        if fingerprint in self._allowed:
            self._allowed.discard(fingerprint)
            return True
        if state is RequestState.due:
            self.trials.schedule_claim(fingerprint)
        return False

    async def admit(
        self, fingerprint: str, *, may_have_run: bool = False
    ) -> None:
        """Let a request of a caller go on to an upstream.

        :param may_have_run: whether it was sent to an upstream before.
        :raises RefusedError: if it must not be sent now.
        """
        state = self.records.find_state(fingerprint)
        if state is RequestState.sound:
            return
        if state is RequestState.suspect:
            if self._isolation.is_running(fingerprint):
                raise RefusedError(_refuse_suspect(may_have_run=may_have_run))
            return
        if state is RequestState.due and await self.trials.claim(fingerprint):
            log.info('Request is on trial.', fingerprint=fingerprint)
            return
        if state is RequestState.held:
            raise RefusedError(_refuse_suspect(may_have_run=may_have_run))
        raise RefusedError(
            Refusal(
                RefusalCode.quarantined,
                'Upstreams ended while they ran this request.',
                not_run=not may_have_run,
                retry_after=self.records.find_time_left(fingerprint),
                step='quarantine',
            )
        )

    def list_avoided(self, fingerprint: str) -> Collection[str]:
        """List the upstreams where a request must not run for now."""
        if self.records.find_state(fingerprint) is RequestState.sound:
            return ()
        return self._isolation.list_occupied()

    def on_start(self, fingerprint: str, upstream: str) -> bool:
        """Learn that a request is sent to an upstream.

        :returns: whether it runs apart from others, so that
            :meth:`on_finish` has to follow.
        """
        if self.records.find_state(fingerprint) is RequestState.sound:
            return False
        self._isolation.on_start(fingerprint, upstream)
        return True

    def on_finish(self, fingerprint: str, upstream: str) -> None:
        """Learn that an upstream runs a request no more."""
        self._isolation.on_finish(fingerprint, upstream)

    def on_crash(
        self, fingerprint: str, run: UpstreamRun, address: str
    ) -> None:
        """Learn that an upstream ended while it ran a request sent here.

        :param address: where the upstream listened.
        """
        self._counters.add('upstream_ends')
        if self.records.on_crash(fingerprint, run, address):
            self._seen_here.add(fingerprint)
            for listener in self._end_listeners:
                listener(fingerprint, run, address)

    def on_restart(self, run: UpstreamRun, address: str) -> None:
        """Learn that a run of an upstream has begun at an address."""
        if not len(self.records):
            return
        for fingerprint in self.records.on_restart(run, address):
            self._show(fingerprint)
            if fingerprint in self._seen_here:
                for listener in self._quarantine_listeners:
                    listener(fingerprint)

    def adopt(
        self,
        fingerprint: str,
        upstreams: Sequence[str],
        age: timedelta,
        trials: int,
    ) -> None:
        """Take a quarantine that some daemon wrote down.

        :param age: how long ago it began, or its last trial.
        :param trials: trials that were begun.
        """
        known = self.records.is_quarantined(fingerprint)
        self.records.quarantine(fingerprint, age, trials)
        if not known:
            self._show(fingerprint, upstreams)

    def on_answer(self, fingerprint: str, run: UpstreamRun) -> None:
        """Learn that a run of an upstream answered a request sent here."""
        if not len(self.records):
            return
        self.records.on_alive(run)
        if self.records.find(fingerprint) is None:
            return
        self.lift(fingerprint, 'answered')
        for listener in self._answer_listeners:
            listener(fingerprint)

    def lift(self, fingerprint: str, reason: str) -> None:
        """Hold nothing against a request any more."""
        record = self.records.forget(fingerprint)
        self._allowed.discard(fingerprint)
        self._seen_here.discard(fingerprint)
        self._set_gauge()
        if record is not None and record.quarantined_until is not None:
            log.info(
                'Quarantine is lifted.', fingerprint=fingerprint, reason=reason
            )

    def allow_trial(self, fingerprint: str) -> None:
        """Let one request of a fingerprint run, though it is quarantined."""
        self._allowed.add(fingerprint)
        log.info('Request is on trial.', fingerprint=fingerprint)

    def _show(self, fingerprint: str, upstreams: Sequence[str] = ()) -> None:
        self._set_gauge()
        log.warning(
            'Request is quarantined.',
            fingerprint=fingerprint,
            upstreams=upstreams or self.records.list_upstreams(fingerprint),
        )

    def _set_gauge(self) -> None:
        count = len(self.records.list_quarantined())
        self._counters.set('requests_quarantined', count)


def _refuse_suspect(*, may_have_run: bool) -> Refusal:
    """Refuse a repeat while its last attempt is still being judged."""
    code = RefusalCode.overloaded
    if may_have_run:
        code = RefusalCode.outcome_unknown
    return Refusal(
        code,
        'Another attempt of this request is being watched.',
        not_run=not may_have_run,
        retry_after=SUSPECT_BACKOFF,
        step='quarantine',
    )
