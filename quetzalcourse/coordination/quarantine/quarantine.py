"""Admission control that keeps requests from crashing further upstreams."""

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

    CrashListener = Callable[[str, UpstreamRun, str], None]
    Listener = Callable[[str], None]

# Retry-After while a suspect request runs or its crashes are unconfirmed.
SUSPECT_RETRY_AFTER = timedelta(milliseconds=500)
log = get_log('quarantine')


class Trials(Protocol):
    """Decides which daemon runs the trial of a quarantined request."""

    async def claim(self, fingerprint: str) -> bool:
        """Claim the next trial for this daemon, if no other one has it."""


class NoTrials:
    """Trials that are never granted, for a daemon without a store."""

    async def claim(self, _: str) -> bool:
        """Return ``False``: no trial may run."""
        return False


class Quarantine:
    """Decides whether and where callers' requests may run.

    Batch items and their scoring calls are never quarantined: they are owed
    even if upstreams crashed under them.
    """

    def __init__(self, records: QuarantineRecords, counters: Counters) -> None:
        """Start without listeners and without trials."""
        self.records = records
        self.trials: Trials = NoTrials()
        self._counters = counters
        self._isolation = Isolation()
        self._crash_listeners: list[CrashListener] = []
        self._answer_listeners: list[Listener] = []
        self._quarantine_listeners: list[Listener] = []
        self._observed_locally: set[str] = set()

    def on_local_crash(self, listener: CrashListener) -> None:
        """Register a listener for crashes that this daemon observes."""
        self._crash_listeners.append(listener)

    def on_local_answer(self, listener: Listener) -> None:
        """Register a listener for answers to recorded requests sent here."""
        self._answer_listeners.append(listener)

    def on_quarantine(self, listener: Listener) -> None:
        """Register a listener for requests that become quarantined.

        It is called only for requests whose crashes this daemon observed
        itself: all daemons quarantine a request at the same moment, and only
        these few of them should act on it.
        """
        self._quarantine_listeners.append(listener)

    def may_begin(self, fingerprint: str) -> bool:
        """Return whether a request may be sent now without a trial."""
        state = self.records.find_state(fingerprint)
        if state is RequestState.suspect:
            return not self._isolation.is_running(fingerprint)
        return state is RequestState.sound

    async def admit(
        self, fingerprint: str, *, may_have_run: bool = False
    ) -> None:
        """Check that a caller's request may be sent to an upstream.

        :param may_have_run: whether an upstream may have run it before.
        :raises RefusedError: if it must not be sent now.
        """
        if self.may_begin(fingerprint):
            return
        state = self.records.find_state(fingerprint)
        if state is RequestState.due and await self.trials.claim(fingerprint):
            log.info(
                'Quarantined request is on trial.', fingerprint=fingerprint
            )
            return
        if state in {RequestState.held, RequestState.suspect}:
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
        """List the upstreams where a request must not run now."""
        if self.records.find_state(fingerprint) is RequestState.sound:
            return ()
        return self._isolation.list_occupied()

    def on_start(self, fingerprint: str, upstream: str) -> bool:
        """Record that a request is sent to an upstream.

        :returns: whether it runs isolated and needs a call of
            :meth:`on_finish` at its end.
        """
        if self.records.find_state(fingerprint) is RequestState.sound:
            return False
        self._isolation.on_start(fingerprint, upstream)
        return True

    def on_finish(self, fingerprint: str, upstream: str) -> None:
        """Record that an upstream no longer runs an isolated request."""
        self._isolation.on_finish(fingerprint, upstream)

    def on_crash(
        self, fingerprint: str, run: UpstreamRun, address: str
    ) -> None:
        """Record that an upstream crashed while running this daemon's request.

        :param address: address of the upstream.
        """
        if self.records.on_crash(fingerprint, run, address):
            self._observed_locally.add(fingerprint)
            for listener in self._crash_listeners:
                listener(fingerprint, run, address)

    def on_restart(self, run: UpstreamRun, address: str) -> None:
        """Record that a run of an upstream started at an address.

        It confirms the crash of the previous run there, which may quarantine
        requests.
        """
        if not len(self.records):
            return
        for fingerprint in self.records.on_restart(run, address):
            self._report(fingerprint)
            if fingerprint in self._observed_locally:
                for listener in self._quarantine_listeners:
                    listener(fingerprint)

    def adopt(
        self,
        fingerprint: str,
        upstreams: Sequence[str],
        age: timedelta,
        trials: int,
    ) -> None:
        """Apply a quarantine that a daemon wrote to the store.

        :param age: time since it began or since its last trial.
        :param trials: number of trials that were started.
        """
        known = self.records.is_quarantined(fingerprint)
        self.records.quarantine(fingerprint, age, trials)
        if not known:
            self._report(fingerprint, upstreams)

    def on_answer(self, fingerprint: str, run: UpstreamRun) -> None:
        """Record that an upstream answered this daemon's request."""
        if not len(self.records):
            return
        self.records.on_alive(run)
        if self.records.find(fingerprint) is None:
            return
        self.lift(fingerprint, 'answered')
        for listener in self._answer_listeners:
            listener(fingerprint)

    def lift(self, fingerprint: str, reason: str) -> None:
        """Drop the record of a request and end its quarantine, if any."""
        record = self.records.forget(fingerprint)
        self._observed_locally.discard(fingerprint)
        self._set_gauge()
        if record is not None and record.quarantined_until is not None:
            log.info(
                'Request quarantine lifted.',
                fingerprint=fingerprint,
                reason=reason,
            )

    def _report(self, fingerprint: str, upstreams: Sequence[str] = ()) -> None:
        self._set_gauge()
        log.warning(
            'Request quarantined.',
            fingerprint=fingerprint,
            upstreams=upstreams or self.records.list_upstreams(fingerprint),
        )

    def _set_gauge(self) -> None:
        count = len(self.records.list_quarantined())
        self._counters.set('requests_quarantined', count)


def _refuse_suspect(*, may_have_run: bool) -> Refusal:
    """Refuse a repeat while the outcome of another attempt is unknown."""
    code = RefusalCode.overloaded
    if may_have_run:
        code = RefusalCode.outcome_unknown
    return Refusal(
        code,
        'Another attempt of this request is being watched.',
        not_run=not may_have_run,
        retry_after=SUSPECT_RETRY_AFTER,
        step='quarantine',
    )
