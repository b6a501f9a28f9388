"""Decides from the ends of upstreams which requests are quarantined.

An upstream that ends takes all its requests along, and each of them may be the
one that ended it. A request that ends whatever runs it never gets an answer, so
ends count only until the next answer, and each run of an upstream counts once.

Of the requests that ran on the same ended upstreams, the one under which more
ended is the cause; while none is ahead, they wait for one end more.

A partition that resets connections looks like the end of all upstreams behind
it, until another run takes the place of those that did end.
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

# Upstreams that may end under a request before it is quarantined.
MAX_CRASHES = 3
# Ends after which a request runs apart from other suspects.
SUSPECT_CRASHES = 2
# Time in which another run takes the place of an upstream that ended.
UNCONFIRMED_TTL = timedelta(seconds=15)
# Age at which ends without an answer in between are forgotten.
RECORD_TTL = timedelta(minutes=10)
# Quarantine before the first trial, doubled with each trial.
BASE_QUARANTINE_TIME = timedelta(minutes=10)
# A request that has failed as many trials waits for an operator, or until
# its record is forgotten.
MAX_TRIALS = 3
QUARANTINE_RETENTION = timedelta(days=1)
# Requests that are remembered; the oldest that are not quarantined go first.
MAX_RECORDS = 4096
# Names and addresses of ended upstreams where another run may begin.
MAX_UNCONFIRMED_KEYS = 4096


class QuarantineRecords:
    """Requests under which upstreams have ended, by their fingerprints."""

    def __init__(self, clock: Clock) -> None:
        """Begin without a record."""
        self._clock = clock
        self._records: dict[str, RequestRecord] = {}
        self._recent = RecentCrashes()
        self._unconfirmed: dict[str, set[str]] = {}

    def __len__(self) -> int:
        """Count the records."""
        return len(self._records)

    def find(self, fingerprint: str) -> RequestRecord | None:
        """Find the record of a request, ``None`` if it has none."""
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
        """Tell how a request may be run."""
        record = self.find(fingerprint)
        if record is None:
            return RequestState.sound
        if record.quarantined_until is not None:
            due = record.quarantined_until <= self._clock.elapsed()
            if due and record.trials < MAX_TRIALS:
                return RequestState.due
            return RequestState.quarantined
        count = self._recent.count_events(record.crashes)
        unconfirmed = not all(end.confirmed for end in record.crashes.values())
        if count >= MAX_CRASHES and unconfirmed:
            return RequestState.held
        if count >= SUSPECT_CRASHES:
            return RequestState.suspect
        return RequestState.sound

    def find_time_left(self, fingerprint: str) -> timedelta:
        """Tell how long a request stays quarantined, at least a second."""
        record = self.find(fingerprint)
        until = record.quarantined_until if record else None
        shortest = timedelta(seconds=1)
        if record is None or until is None:
            return shortest
        if record.trials >= MAX_TRIALS:
            until = record.changed_at + QUARANTINE_RETENTION
        return max(until - self._clock.elapsed(), shortest)

    def list_quarantined(self) -> list[str]:
        """List the fingerprints of quarantined requests."""
        return [
            fingerprint
            for fingerprint in tuple(self._records)
            if self.is_quarantined(fingerprint)
        ]

    def list_upstreams(self, fingerprint: str) -> list[str]:
        """Name the upstreams that ended under a request."""
        record = self.find(fingerprint)
        return sorted(name for name, _ in record.crashes) if record else []

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tell whether a request is quarantined, on trial or not."""
        record = self.find(fingerprint)
        return record is not None and record.quarantined_until is not None

    def on_crash(
        self, fingerprint: str, run: UpstreamRun, address: str
    ) -> bool:
        """Learn that an upstream seems to have ended under a request.

        :returns: whether that is new.
        """
        record = self.find(fingerprint) or self._add(fingerprint)
        if run in record.crashes:
            return False
        now = self._clock.elapsed()
        record.crashes[run] = UpstreamCrash(now, address)
        for place in (address, run[0]):
            self._unconfirmed.setdefault(place, set()).add(fingerprint)
        if len(self._unconfirmed) > MAX_UNCONFIRMED_KEYS:
            self._unconfirmed.pop(next(iter(self._unconfirmed)))
        self._recent.add(run, now)
        if record.quarantined_until is None:
            record.changed_at = now
        return True

    def on_restart(self, run: UpstreamRun, address: str) -> list[str]:
        """Learn that a run of an upstream begins at an address.

        :returns: requests that are quarantined by what that confirms.
        """
        found: set[str] = set()
        for place in (address, run[0]):
            found |= self._unconfirmed.pop(place, set())
        return [
            fingerprint
            for fingerprint in sorted(found & self._records.keys())
            if self._confirm(fingerprint, run, address)
        ]

    def on_alive(self, run: UpstreamRun) -> None:
        """Learn that a run of an upstream answers, which had not ended."""
        if not self._recent.remove(run):
            return
        for record in self._records.values():
            record.crashes.pop(run, None)

    def quarantine(
        self, fingerprint: str, age: timedelta, trials: int = 0
    ) -> None:
        """Quarantine a request, also one that another daemon judged.

        :param age: how long ago its quarantine or its last trial began.
        :param trials: trials that were begun.
        """
        record = self._records.get(fingerprint) or self._add(fingerprint)
        record.changed_at = self._clock.elapsed() - age
        record.quarantined_until = record.changed_at + find_duration(trials)
        record.trials = trials

    def forget(self, fingerprint: str) -> RequestRecord | None:
        """Hold nothing against a request any more."""
        return self._records.pop(fingerprint, None)

    def _confirm(
        self, fingerprint: str, run: UpstreamRun, address: str
    ) -> bool:
        record = self._records[fingerprint]
        ended = [
            end
            for known, end in record.crashes.items()
            if known != run and (end.address == address or known[0] == run[0])
        ]
        if run in record.crashes:
            # The same run registers again, as after a partition.
            self._unconfirmed.setdefault(address, set()).add(fingerprint)
        for end in ended:
            end.confirmed = True
        if not ended or not self._is_cause(record):
            return False
        self.quarantine(fingerprint, timedelta(0))
        return True

    def _is_cause(self, record: RequestRecord) -> bool:
        """Tell whether a request has ended the upstreams that ran it."""
        if record.quarantined_until is not None:
            return False
        confirmed = {
            run: end for run, end in record.crashes.items() if end.confirmed
        }
        count = self._recent.count_events(confirmed)
        if count < MAX_CRASHES:
            return False
        rivals = self._list_rivals(record, confirmed)
        if any(len(rival.crashes) > len(record.crashes) for rival in rivals):
            return False
        return count > MAX_CRASHES or not rivals

    def _list_rivals(
        self,
        record: RequestRecord,
        confirmed: Mapping[UpstreamRun, UpstreamCrash],
    ) -> list[RequestRecord]:
        """List other requests that ran on all upstreams that ended under one.

        The request that ended them is among them, if it is not the one itself.
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
            for run, end in record.crashes.items()
            if not end.confirmed and end.at < oldest
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
    """Tell how long a quarantine lasts before its next trial."""
    return BASE_QUARANTINE_TIME * 2**trials
