"""Records of upstream crashes, which decide what requests are quarantined.

A crash of an upstream fails all requests that it runs, and each of them may be
the cause. A request that crashes whatever runs it never gets an answer, so
crashes count only until the next answer, and each run of an upstream counts
once.

Of the requests that ran on the same crashed upstreams, the one with the most
crashes is the cause; while there is a tie, another crash has to decide.

A partition that resets connections looks like a crash of all upstreams behind
it, so a crash is confirmed only when a new run takes the upstream's place.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.quarantine.crash_events import RecentCrashes
from quetzalcourse.state.quarantine import (
    RequestRecord,
    RequestState,
    UpstreamCrash,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.quarantine import UpstreamRun

# Crashes after which a request is quarantined.
MAX_CRASHES = 3
# Crashes after which a request is isolated from other suspects.
SUSPECT_CRASHES = 2
# Time in which a new run takes the place of a crashed upstream.
UNCONFIRMED_TTL = timedelta(seconds=15)
# Age at which crashes without an answer in between are discarded.
RECORD_TTL = timedelta(minutes=10)
# Quarantine before the first trial, doubled with each trial.
BASE_QUARANTINE_TIME = timedelta(minutes=10)
# After this many failed trials a request waits for an operator, or until its
# record is discarded.
MAX_TRIALS = 3
QUARANTINE_RETENTION = timedelta(days=1)
# The oldest records that are not quarantined are evicted first.
MAX_RECORDS = 4096
# Names and addresses of crashed upstreams where a new run may start.
MAX_UNCONFIRMED_KEYS = 4096


class QuarantineRecords:
    """Crash records of requests by their fingerprints."""

    def __init__(self, clock: Clock) -> None:
        """Start without a record."""
        self._clock = clock
        self._records: dict[str, RequestRecord] = {}
        self._recent_crashes = RecentCrashes()
        self._unconfirmed: dict[str, set[str]] = {}

    def __len__(self) -> int:
        """Count the records."""
        return len(self._records)

    def find(self, fingerprint: str) -> RequestRecord | None:
        """Find the record of a request, ``None`` if it has none in force."""
        record = self._records.get(fingerprint)
        if record is None:
            return None
        self._drop_unconfirmed(record)
        known = record.crashes or record.quarantined_until is not None
        if known and not self._is_outdated(record):
            return record
        self._records.pop(fingerprint)
        return None

    def find_state(self, fingerprint: str) -> RequestState:
        """Return the state of a request, which decides how it may run."""
        record = self.find(fingerprint)
        if record is None:
            return RequestState.sound
        if record.quarantined_until is not None:
            due = record.quarantined_until <= self._clock.elapsed()
            if due and record.trials < MAX_TRIALS:
                return RequestState.due
            return RequestState.quarantined
        count = self._recent_crashes.count_events(record.crashes)
        unconfirmed = not all(
            crash.confirmed for crash in record.crashes.values()
        )
        if count >= MAX_CRASHES and unconfirmed:
            return RequestState.held
        if count >= SUSPECT_CRASHES:
            return RequestState.suspect
        return RequestState.sound

    def find_time_left(self, fingerprint: str) -> timedelta:
        """Return how long a request stays quarantined, at least one second."""
        record = self.find(fingerprint)
        until = record.quarantined_until if record else None
        minimum = timedelta(seconds=1)
        if record is None or until is None:
            return minimum
        if record.trials >= MAX_TRIALS:
            until = record.changed_at + QUARANTINE_RETENTION
        return max(until - self._clock.elapsed(), minimum)

    def list_quarantined(self) -> list[str]:
        """List the fingerprints of quarantined requests."""
        return [
            fingerprint
            for fingerprint in tuple(self._records)
            if self.is_quarantined(fingerprint)
        ]

    def list_upstreams(self, fingerprint: str) -> list[str]:
        """List the names of the upstreams that crashed under a request."""
        record = self.find(fingerprint)
        return sorted(name for name, _ in record.crashes) if record else []

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is quarantined, even if a trial is due."""
        record = self.find(fingerprint)
        return record is not None and record.quarantined_until is not None

    def on_crash(
        self, fingerprint: str, run: UpstreamRun, address: str
    ) -> bool:
        """Record the presumed crash of an upstream that ran a request.

        :returns: whether it was not recorded before.
        """
        record = self.find(fingerprint) or self._add(fingerprint)
        if run in record.crashes:
            return False
        now = self._clock.elapsed()
        record.crashes[run] = UpstreamCrash(now, address)
        for key in (address, run[0]):
            self._unconfirmed.setdefault(key, set()).add(fingerprint)
        if len(self._unconfirmed) > MAX_UNCONFIRMED_KEYS:
            self._unconfirmed.pop(next(iter(self._unconfirmed)))
        self._recent_crashes.add(run, now)
        if record.quarantined_until is None:
            record.changed_at = now
        return True

    def on_restart(self, run: UpstreamRun, address: str) -> list[str]:
        """Record that a run of an upstream started at an address.

        :returns: requests that are quarantined by crashes that this confirms.
        """
        affected: set[str] = set()
        for key in (address, run[0]):
            affected |= self._unconfirmed.pop(key, set())
        return [
            fingerprint
            for fingerprint in sorted(affected & self._records.keys())
            if self._confirm(fingerprint, run, address)
        ]

    def on_alive(self, run: UpstreamRun) -> None:
        """Drop the crash of a run that turns out to be alive."""
        if not self._recent_crashes.remove(run):
            return
        for record in self._records.values():
            record.crashes.pop(run, None)

    def quarantine(
        self, fingerprint: str, age: timedelta, trials: int = 0
    ) -> None:
        """Quarantine a request, by this daemon's or another one's decision.

        :param age: time since its quarantine or its last trial began.
        :param trials: number of trials that were started.
        """
        record = self._records.get(fingerprint) or self._add(fingerprint)
        record.changed_at = self._clock.elapsed() - age
        record.quarantined_until = record.changed_at + find_duration(trials)
        record.trials = trials

    def forget(self, fingerprint: str) -> RequestRecord | None:
        """Remove the record of a request and return it, if there is one."""
        return self._records.pop(fingerprint, None)

    def _confirm(
        self, fingerprint: str, run: UpstreamRun, address: str
    ) -> bool:
        record = self._records[fingerprint]
        replaced = [
            crash
            for known, crash in record.crashes.items()
            if known != run and (crash.address == address or known[0] == run[0])
        ]
        if run in record.crashes:
            # The same run registers again, as after a partition.
            self._unconfirmed.setdefault(address, set()).add(fingerprint)
        for crash in replaced:
            crash.confirmed = True
        if not replaced or not self._is_cause(record):
            return False
        self.quarantine(fingerprint, timedelta(0))
        return True

    def _is_cause(self, record: RequestRecord) -> bool:
        """Return whether a request has crashed the upstreams that ran it."""
        if record.quarantined_until is not None:
            return False
        confirmed = {
            run: crash
            for run, crash in record.crashes.items()
            if crash.confirmed
        }
        count = self._recent_crashes.count_events(confirmed)
        if count < MAX_CRASHES:
            return False
        others = self._list_other_suspects(record, confirmed)
        if any(len(other.crashes) > len(record.crashes) for other in others):
            return False
        return count > MAX_CRASHES or not others

    def _list_other_suspects(
        self,
        record: RequestRecord,
        confirmed: Mapping[UpstreamRun, UpstreamCrash],
    ) -> list[RequestRecord]:
        """List other requests that ran on all crashed upstreams of a record.

        The request that crashed them is one of these or the record's own.
        """
        return [
            other
            for other in self._records.values()
            if other is not record and confirmed.keys() <= other.crashes.keys()
        ]

    def _drop_unconfirmed(self, record: RequestRecord) -> None:
        oldest = self._clock.elapsed() - UNCONFIRMED_TTL
        outdated = [
            run
            for run, crash in record.crashes.items()
            if not crash.confirmed and crash.at < oldest
        ]
        if record.quarantined_until is None:
            for run in outdated:
                record.crashes.pop(run)

    def _add(self, fingerprint: str) -> RequestRecord:
        if len(self._records) >= MAX_RECORDS:
            self._records.pop(self._find_oldest())
        record = RequestRecord(changed_at=self._clock.elapsed())
        self._records[fingerprint] = record
        return record

    def _find_oldest(self) -> str:
        return next(
            (
                fingerprint
                for fingerprint, record in self._records.items()
                if record.quarantined_until is None
            ),
            next(iter(self._records)),
        )

    def _is_outdated(self, record: RequestRecord) -> bool:
        age = self._clock.elapsed() - record.changed_at
        if record.quarantined_until is not None:
            return age > QUARANTINE_RETENTION
        return age > RECORD_TTL


def find_duration(trials: int) -> timedelta:
    """Return how long a quarantine lasts before its next trial."""
    return BASE_QUARANTINE_TIME * 2**trials
