"""State of the slots that this daemon uses on one upstream."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.slots import AccountLoad, Allowance, SlotReport

if TYPE_CHECKING:
    from quetzalcourse.state.slots import QueueKey, SlotTimings

NEVER = timedelta(seconds=-1)
MAX_TRACKED_REPORTS = 64
STARTS_PER_SPARE = 10
ANSWER_TIMEOUT_DIVISOR = 10


@dataclass(slots=True)
class LocalSlotState:
    """The requester's side of the slot protocol for one upstream.

    :param owner: incarnation of the owner, empty if there is none.
    :param fallback: number of slots to use while no owner answers.
    :param expires_at: when the allowance expires.
    :param first_asked_at: when the owner was first asked after an idle period.
    :param waiting: when each request that asks for this upstream was queued.
    """

    upstream: str
    terms: SlotTimings
    owner: str = ''
    fallback: int = 0
    allowance: Allowance | None = None
    expires_at: timedelta = NEVER
    first_asked_at: timedelta = NEVER
    running: Counter[QueueKey] = field(default_factory=Counter)
    tokens: Counter[QueueKey] = field(default_factory=Counter)
    waiting: dict[QueueKey, dict[int, timedelta]] = field(default_factory=dict)
    reported_at: timedelta = NEVER
    _reported_running: int = 0
    _reported_held: int = 0
    _sequence: int = 0
    _sent_at: dict[int, timedelta] = field(default_factory=dict)
    _human_starts: int = 0
    _recent_starts: int = 0
    _starts_counted_at: timedelta = NEVER
    _spares_until: timedelta = NEVER

    @property
    def total(self) -> int:
        """Number of running requests."""
        return sum(self.running.values())

    @property
    def training(self) -> int:
        """Number of running training requests."""
        return sum(
            count
            for key, count in self.running.items()
            if key.traffic_class is TrafficClass.training
        )

    def update_owner(self, owner: str, fallback: int, now: timedelta) -> bool:
        """Apply the owner computed from the live members.

        :returns: whether the owner changed.
        """
        self.fallback = fallback
        if owner == self.owner:
            return False
        # Allowances are numbered by each owner: compared with the numbers of
        # the previous owner, the new owner's would look old and be dropped.
        self.owner = owner
        self._sent_at.clear()
        self.first_asked_at = now
        if self.allowance is not None:
            self.allowance = _reset_number(self.allowance)
        return True

    def may_start(self, traffic_class: TrafficClass, now: timedelta) -> bool:
        """Check whether one more request may run."""
        total, training = self.get_limits(now)
        if self.total >= total:
            return False
        if traffic_class is TrafficClass.human:
            return True
        return self.training < training

    def get_limits(self, now: timedelta) -> tuple[int, int]:
        """Return the limits on all running requests and on training."""
        if self.allowance is not None and now < self.expires_at:
            return self.allowance.total, self.allowance.training
        if now - self.reported_at >= self.terms.term:
            # No report was sent recently, so a missing answer does not mean
            # that the owner is unreachable.
            return 0, 0
        if self.owner and now - self.first_asked_at >= self.terms.term:
            return self.fallback, self.fallback
        return 0, 0

    def count_revoked(self, now: timedelta) -> int:
        """Count the training requests that must release their slots.

        A daemon that no owner answers keeps only its fallback share, since by
        then the owner has granted the rest to others.
        """
        if self.allowance is not None and now < self.expires_at:
            return min(self.allowance.revoke, self.training)
        return max(self.training - self.get_limits(now)[1], 0)

    def on_started(self, key: QueueKey, now: timedelta) -> None:
        """Count a request that starts to run."""
        self.running[key] += 1
        if key.traffic_class is TrafficClass.human:
            self._human_starts += 1
            self._spares_until = now + self.terms.spare_hold

    def on_released(self, key: QueueKey, tokens: int) -> None:
        """Stop counting a request that finished."""
        self.running[key] -= 1
        if not self.running[key]:
            self.running.pop(key)
        self.tokens[key] += tokens

    def on_allowance(self, allowance: Allowance, now: timedelta) -> bool:
        """Apply an allowance unless a newer one arrived before it.

        :returns: whether it was applied and has not expired.
        """
        sent = self._sent_at.get(allowance.answers)
        newest = self.allowance.number if self.allowance is not None else 0
        if sent is None or allowance.number <= newest:
            return False
        self.allowance = allowance
        self.expires_at = sent + self.terms.term
        return now < self.expires_at

    def is_unanswered(self, now: timedelta) -> bool:
        """Check whether the last report or its answer was probably lost."""
        answered = 0 if self.allowance is None else self.allowance.answers
        if answered >= self._sequence:
            return False
        return (
            now - self.reported_at
            >= self.terms.renewal / ANSWER_TIMEOUT_DIVISOR
        )

    def is_idle(self, now: timedelta) -> bool:
        """Check whether the owner needs no further reports."""
        if self.running or self.waiting or self.tokens:
            return False
        if now < self._spares_until:
            return False
        return now >= self.expires_at or not self.get_limits(now)[0]

    def has_wanted_idle_slots(self, now: timedelta) -> bool:
        """Check whether others wait for slots that were released here.

        True only if the owner does not know yet: a daemon that reported
        whenever others wait would report endlessly.
        """
        if self.allowance is None or now >= self.expires_at:
            return False
        if not (self.allowance.contended or self.allowance.revoke):
            return False
        return self.total < self._reported_running

    def must_confirm_reduction(self, now: timedelta) -> bool:
        """Check whether the owner awaits confirmation of a slot reduction."""
        if self.allowance is None or now >= self.expires_at:
            return False
        return self.allowance.total < self._reported_held

    def make_report(self, now: timedelta) -> SlotReport:
        """Create the next report to the owner."""
        if now - self.reported_at >= self.terms.term:
            self.first_asked_at = now
        self._sequence += 1
        self._sent_at[self._sequence] = now
        self._sent_at.pop(self._sequence - MAX_TRACKED_REPORTS, None)
        self.reported_at = now
        self._reported_running = self.total
        held = self.get_limits(now) if now < self.expires_at else (0, 0)
        self._reported_held = held[0]
        self._rotate_start_count(now)
        applied = self.allowance.number if self.allowance is not None else 0
        report = SlotReport(
            self.upstream,
            self._sequence,
            applied,
            *held,
            self._count_spares(now),
            self._list_loads(now),
        )
        self.tokens.clear()
        return report

    def _count_spares(self, now: timedelta) -> int:
        if now >= self._spares_until:
            return 0
        return 1 + self._recent_starts // STARTS_PER_SPARE

    def _rotate_start_count(self, now: timedelta) -> None:
        if now - self._starts_counted_at >= self.terms.renewal:
            self._recent_starts = self._human_starts
            self._human_starts = 0
            self._starts_counted_at = now

    def _list_loads(self, now: timedelta) -> tuple[AccountLoad, ...]:
        keys = {**self.running, **self.waiting, **self.tokens}
        return tuple(
            AccountLoad(
                key,
                self.running.get(key, 0),
                len(self.waiting.get(key, ())),
                self._get_oldest_wait(key, now),
                self.tokens.get(key, 0),
            )
            for key in keys
        )

    def _get_oldest_wait(self, key: QueueKey, now: timedelta) -> timedelta:
        times = self.waiting.get(key)
        if not times:
            return timedelta(0)
        return now - next(iter(times.values()))


def _reset_number(allowance: Allowance) -> Allowance:
    return Allowance(
        allowance.upstream,
        0,
        allowance.answers,
        allowance.human,
        allowance.training,
    )
