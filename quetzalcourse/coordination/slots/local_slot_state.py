"""What one daemon runs and may run on one upstream."""

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
KEPT_SEQUENCES = 64
STARTS_PER_SPARE = 10
ANSWER_PART = 10


@dataclass(slots=True)
class LocalSlotState:
    """A daemon's side of the exchange about one upstream.

    :param owner: incarnation of the owner, empty if there is none.
    :param fallback: slots to use while no owner answers.
    :param expires: when the allowance lapses.
    :param asked: when the owner was asked first, after a time of no need.
    :param waiting: queueing times of the requests that ask for this one.
    """

    upstream: str
    terms: SlotTimings
    owner: str = ''
    fallback: int = 0
    allowance: Allowance | None = None
    expires: timedelta = NEVER
    asked: timedelta = NEVER
    running: Counter[QueueKey] = field(default_factory=Counter)
    tokens: Counter[QueueKey] = field(default_factory=Counter)
    waiting: dict[QueueKey, dict[int, timedelta]] = field(default_factory=dict)
    reported: timedelta = NEVER
    _reported_running: int = 0
    _reported_held: int = 0
    _sequence: int = 0
    _sent: dict[int, timedelta] = field(default_factory=dict)
    _human_starts: int = 0
    _recent_starts: int = 0
    _counted: timedelta = NEVER
    _human_until: timedelta = NEVER

    @property
    def total(self) -> int:
        """Requests that run."""
        return sum(self.running.values())

    @property
    def training(self) -> int:
        """Training requests that run."""
        return sum(
            count
            for key, count in self.running.items()
            if key.traffic_class is TrafficClass.training
        )

    def follow_owner(self, owner: str, fallback: int, now: timedelta) -> bool:
        """Take the owner that the live members give.

        :returns: whether it is another one than before.
        """
        self.fallback = fallback
        if owner == self.owner:
            return False
        # Allowances are numbered by their owner: compared with the numbers
        # of another one, the new owner's would look old and be dropped.
        self.owner = owner
        self._sent.clear()
        self.asked = now
        if self.allowance is not None:
            self.allowance = _renumber(self.allowance)
        return True

    def may_start(self, traffic_class: TrafficClass, now: timedelta) -> bool:
        """Tell whether one more request may run."""
        total, training = self.find_limits(now)
        if self.total >= total:
            return False
        if traffic_class is TrafficClass.human:
            return True
        return self.training < training

    def find_limits(self, now: timedelta) -> tuple[int, int]:
        """Tell how many may run in all, and how many of training."""
        if self.allowance is not None and now < self.expires:
            return self.allowance.total, self.allowance.training
        if now - self.reported >= self.terms.term:
            # Nothing was asked lately, so silence says nothing yet.
            return 0, 0
        if self.owner and now - self.asked >= self.terms.term:
            return self.fallback, self.fallback
        return 0, 0

    def count_revoked(self, now: timedelta) -> int:
        """Count the training requests that must give their slot back.

        A daemon that no owner answers keeps its fallback share only, since
        the owner has given the rest to others by then.
        """
        if self.allowance is not None and now < self.expires:
            return min(self.allowance.revoke, self.training)
        return max(self.training - self.find_limits(now)[1], 0)

    def on_started(self, key: QueueKey, now: timedelta) -> None:
        """Count a request that begins to run."""
        self.running[key] += 1
        if key.traffic_class is TrafficClass.human:
            self._human_starts += 1
            self._human_until = now + self.terms.spare_hold

    def on_released(self, key: QueueKey, tokens: int) -> None:
        """Count a request that runs no more."""
        self.running[key] -= 1
        if not self.running[key]:
            self.running.pop(key)
        self.tokens[key] += tokens

    def on_allowance(self, allowance: Allowance, now: timedelta) -> bool:
        """Follow an allowance unless a newer one came before it.

        :returns: whether it was followed.
        """
        sent = self._sent.get(allowance.answers)
        newest = self.allowance.number if self.allowance is not None else 0
        if sent is None or allowance.number <= newest:
            return False
        self.allowance = allowance
        self.expires = sent + self.terms.term
        return now < self.expires

    def is_unanswered(self, now: timedelta) -> bool:
        """Tell whether the last report or its answer seems to be lost."""
        answered = 0 if self.allowance is None else self.allowance.answers
        if answered >= self._sequence:
            return False
        return now - self.reported >= self.terms.renewal / ANSWER_PART

    def is_idle(self, now: timedelta) -> bool:
        """Tell whether the owner needs to hear nothing more."""
        if self.running or self.waiting or self.tokens:
            return False
        if now < self._human_until:
            return False
        return now >= self.expires or not self.find_limits(now)[0]

    def is_missed(self, now: timedelta) -> bool:
        """Tell whether others wait for slots that were given back here.

        True only if the owner does not know yet: a daemon that reported
        whenever others wait would report without end.
        """
        if self.allowance is None or now >= self.expires:
            return False
        if not (self.allowance.contended or self.allowance.revoke):
            return False
        return self.total < self._reported_running

    def is_lowered(self, now: timedelta) -> bool:
        """Tell whether the owner waits to hear that it took slots back."""
        if self.allowance is None or now >= self.expires:
            return False
        return self.allowance.total < self._reported_held

    def make_report(self, now: timedelta) -> SlotReport:
        """Write the next report to the owner."""
        if now - self.reported >= self.terms.term:
            self.asked = now
        self._sequence += 1
        self._sent[self._sequence] = now
        self._sent.pop(self._sequence - KEPT_SEQUENCES, None)
        self.reported = now
        self._reported_running = self.total
        held = self.find_limits(now) if now < self.expires else (0, 0)
        self._reported_held = held[0]
        self._count_starts(now)
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
        if now >= self._human_until:
            return 0
        return 1 + self._recent_starts // STARTS_PER_SPARE

    def _count_starts(self, now: timedelta) -> None:
        if now - self._counted >= self.terms.renewal:
            self._recent_starts = self._human_starts
            self._human_starts = 0
            self._counted = now

    def _list_loads(self, now: timedelta) -> tuple[AccountLoad, ...]:
        keys = {**self.running, **self.waiting, **self.tokens}
        return tuple(
            AccountLoad(
                key,
                self.running.get(key, 0),
                len(self.waiting.get(key, ())),
                self._find_age(key, now),
                self.tokens.get(key, 0),
            )
            for key in keys
        )

    def _find_age(self, key: QueueKey, now: timedelta) -> timedelta:
        times = self.waiting.get(key)
        if not times:
            return timedelta(0)
        return now - next(iter(times.values()))


def _renumber(allowance: Allowance) -> Allowance:
    return Allowance(
        allowance.upstream,
        0,
        allowance.answers,
        allowance.human,
        allowance.training,
    )
