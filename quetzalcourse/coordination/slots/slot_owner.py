"""The owner of an upstream, which decides how much each daemon may run."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.fair_share import (
    FairnessState,
    SlotTarget,
    divide_slots,
)
from quetzalcourse.coordination.slots.foreign_load import ForeignLoad
from quetzalcourse.coordination.slots.requester_state import RequesterState
from quetzalcourse.coordination.slots.decayed_token_counts import (
    DecayedTokenCounts,
)
from quetzalcourse.state.generation import TrafficClass

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.coordination.slots.fair_share import AccountDemand
    from quetzalcourse.state.manifest import Upstream
    from quetzalcourse.state.slots import Allowance, SlotReport, SlotTimings

LOAD_REPORT_LAG = timedelta(seconds=3)
EXTRA_TRAINING_DIVISOR = 4


@dataclass(frozen=True, slots=True)
class _Plan:
    """Planned division of the slots.

    :param slots: number of slots to divide.
    :param training: most of them that training may use.
    :param targets: slots that each daemon should hold.
    :param revoked: training requests that each daemon must stop.
    :param contended: whether some daemon waits for slots that others hold idle.
    """

    slots: int
    training: int
    targets: Mapping[str, SlotTarget]
    revoked: Mapping[str, int]
    contended: bool


@dataclass(slots=True)
class _Capacity:
    """Number of slots in total, and of those for training."""

    total: int
    training: int

    @classmethod
    def committed_by(
        cls, requester: RequesterState, now: timedelta
    ) -> _Capacity:
        """Return the slots that a daemon may be using."""
        return cls(
            requester.count_committed(now),
            requester.count_committed_training(now),
        )

    def subtract(self, before: _Capacity, after: _Capacity) -> None:
        """Subtract the growth of a daemon's commitment."""
        self.total -= after.total - before.total
        self.training -= after.training - before.training


class SlotOwner:
    """State machine that grants the slots of one upstream.

    Every report carries a daemon's full state and every allowance replaces the
    previous one, so lost, late or duplicate messages do no harm. Until the
    allowances of the previous owner have expired, daemons keep what they hold
    and get no more than their fallback share.

    :param upstream: the upstream, as configured in the manifest.
    :param takeover_ends_at: time since boot until which allowances of a
        previous owner may be in use.
    :param fallback_shares: number of slots that each live daemon uses if no
        owner answers it, by incarnation.
    """

    def __init__(
        self,
        upstream: Upstream,
        terms: SlotTimings,
        takeover_ends_at: timedelta,
        fallback_shares: Mapping[str, int],
    ) -> None:
        """Create without reports."""
        self._foreign_load = ForeignLoad(LOAD_REPORT_LAG)
        self._upstream = upstream
        self._terms = terms
        self._takeover_ends_at = takeover_ends_at
        self._fallback_shares = fallback_shares
        self._requesters: dict[str, RequesterState] = {}
        self._token_counts = DecayedTokenCounts()
        self._weights: Mapping[int, float] = {}

    @property
    def foreign_slots(self) -> float:
        """Slots in use that this owner did not grant."""
        return self._foreign_load.slots

    def on_manifest(
        self,
        upstream: Upstream,
        weights: Mapping[int, float],
    ) -> None:
        """Apply the upstream's new slots and headroom, and the account weights.

        :param weights: account id to weight.
        """
        self._upstream = upstream
        self._weights = weights

    def on_members(self, fallback_shares: Mapping[str, int]) -> None:
        """Apply the fallback shares of the daemons that are live now."""
        self._fallback_shares = fallback_shares

    def on_report(
        self,
        incarnation: str,
        report: SlotReport,
        now: timedelta,
    ) -> bool:
        """Process a daemon's report.

        :param incarnation: incarnation of the daemon.
        :returns: whether it was newer than all earlier reports.
        """
        requester = self._requesters.get(incarnation)
        if requester is None:
            self._requesters[incarnation] = RequesterState.from_first_report(
                incarnation, report, now, self._terms.term
            )
        elif not requester.accept(report, now):
            return False
        for load in report.loads:
            self._token_counts.add(load.key, load.tokens, now)
        return True

    def on_load(self, busy: int, now: timedelta) -> None:
        """Compare the engine's load with the committed slots.

        :param busy: number of requests that run or wait inside the engine.
        """
        self._foreign_load.on_load(busy, self.count_committed(now), now)

    def count_committed(self, now: timedelta) -> int:
        """Count the slots that all daemons together may be using."""
        return sum(
            requester.count_committed(now)
            for requester in self._requesters.values()
        )

    def decide(
        self,
        now: timedelta,
        reporters: frozenset[str] = frozenset(),
    ) -> dict[str, Allowance]:
        """Recompute the division of the slots.

        :param reporters: daemons that have just reported and may need an
            answer.
        :returns: allowances to send, by incarnation.
        """
        self._drop_expired_requesters(now)
        committed = self.count_committed(now)
        self._foreign_load.on_commitment(committed, now)
        plan = self._plan(committed, now)
        capacity = _Capacity(
            plan.slots - committed,
            plan.training
            - sum(
                requester.count_committed_training(now)
                for requester in self._requesters.values()
            ),
        )
        sent = {}
        for requester in self._sort_requesters(plan):
            target = self._limit_target(
                requester, plan.targets[requester.name], capacity, now
            )
            revoke = plan.revoked.get(requester.name, 0)
            must_send = _must_send(
                requester, target, revoke, contended=plan.contended
            )
            if requester.name in reporters:
                renewal = self._terms.renewal
                must_send = must_send or requester.needs_answer(
                    target, now, renewal
                )
            if not must_send:
                continue
            before = _Capacity.committed_by(requester, now)
            requester.answered_at = now
            sent[requester.name] = requester.make_allowance(
                target, revoke, self._terms.term, contended=plan.contended
            )
            capacity.subtract(before, _Capacity.committed_by(requester, now))
        return sent

    def _plan(self, committed: int, now: timedelta) -> _Plan:
        slots = max(self._upstream.slots - math.ceil(self.foreign_slots), 0)
        headroom = min(self._upstream.human_headroom, slots)
        demands = self._list_demands(now)
        accounts = FairnessState(self._weights, self._token_counts.read())
        targets = divide_slots(slots, headroom, demands, accounts)
        missing = sum(
            max(target.total - self._requesters[name].count_committed(now), 0)
            for name, target in targets.items()
        )
        revoked = self._plan_revocations(slots, headroom, targets)
        used = sum(target.human for target in targets.values())
        _add_spare_slots(slots, targets, list(self._requesters.values()))
        training = max(slots - headroom - used, 0)
        contended = missing > slots - committed or (
            sum(demand.wanted for demand in demands) > slots - headroom
        )
        if not contended:
            _add_extra_training(training, targets)
        return _Plan(slots, training, targets, revoked, contended=contended)

    def _list_demands(self, now: timedelta) -> list[AccountDemand]:
        return [
            demand
            for requester in self._requesters.values()
            for demand in requester.list_demands(now)
        ]

    def _drop_expired_requesters(self, now: timedelta) -> None:
        # A daemon that died sends no last report, and its slots would never be
        # freed. A daemon that is only partitioned has by then seen its
        # allowance expire on its own clock and has revoked its training above
        # the fallback share.
        limit = self._terms.term + self._terms.renewal
        for name, requester in tuple(self._requesters.items()):
            gone = name not in self._fallback_shares
            since_report = now - requester.reported_at
            if since_report >= limit or (
                gone and since_report >= self._terms.term
            ):
                self._requesters.pop(name)

    def _sort_requesters(self, plan: _Plan) -> list[RequesterState]:
        targets = plan.targets
        return sorted(
            self._requesters.values(),
            key=lambda requester: (
                -min(requester.count_waiting(TrafficClass.human), 1),
                requester.current.total - targets[requester.name].total,
            ),
        )

    def _limit_target(
        self,
        requester: RequesterState,
        target: SlotTarget,
        capacity: _Capacity,
        now: timedelta,
    ) -> SlotTarget:
        committed = _Capacity.committed_by(requester, now)
        max_total = committed.total + max(capacity.total, 0)
        training = committed.training + max(capacity.training, 0)
        if now < self._takeover_ends_at:
            share = self._fallback_shares.get(requester.name, 0)
            max_total = max(committed.total, share)
            training = max(committed.training, share)
        # Training that still runs above its target keeps its slots for a while;
        # human requests get their slots in addition, without waiting for it.
        above = requester.count_running(TrafficClass.training) - target.training
        human = min(target.human + max(above, 0), max_total)
        return SlotTarget(
            human, min(target.training, training, max_total - human)
        )

    def _plan_revocations(
        self,
        slots: int,
        headroom: int,
        targets: Mapping[str, SlotTarget],
    ) -> dict[str, int]:
        running = {
            name: requester.count_running(TrafficClass.training)
            for name, requester in self._requesters.items()
        }
        humans = sum(
            requester.count_running(TrafficClass.human)
            + requester.count_waiting(TrafficClass.human)
            for requester in self._requesters.values()
        )
        # Half of the headroom may fill up before training is revoked: a stream
        # that is interrupted by every human request would make no progress.
        capacity = max(slots - humans - math.ceil(headroom / 2), 0)
        excess = sum(running.values()) - capacity
        revoked: dict[str, int] = {}
        for name, count in running.items():
            above = max(count - targets[name].training, 0)
            revoked[name] = min(max(excess, 0), above)
            excess -= revoked[name]
        return revoked


def _add_spare_slots(
    slots: int,
    targets: Mapping[str, SlotTarget],
    requesters: list[RequesterState],
) -> None:
    left = slots - sum(target.total for target in targets.values())
    wanted = {
        requester.name: requester.report.spares for requester in requesters
    }
    while left > 0 and any(wanted.values()):
        for name in sorted(wanted):
            if wanted[name] and left > 0:
                targets[name].human += 1
                wanted[name] -= 1
                left -= 1


def _add_extra_training(
    training: int, targets: Mapping[str, SlotTarget]
) -> None:
    # Samples that start and end one by one would each cost a report and an
    # answer; while no daemon waits, a few extra slots cost nothing.
    left = training - sum(target.training for target in targets.values())
    for target in targets.values():
        if target.training:
            extra = min(
                1 + target.training // EXTRA_TRAINING_DIVISOR, max(left, 0)
            )
            target.training += extra
            left -= extra


def _must_send(
    requester: RequesterState,
    target: SlotTarget,
    revoke: int,
    *,
    contended: bool,
) -> bool:
    current = requester.current
    if revoke != current.revoke:
        return True
    if (
        requester.count_waiting(TrafficClass.human)
        and target.total > current.total
    ):
        return True
    if requester.count_waiting(TrafficClass.training):
        if target.training > current.training:
            return True
    if not contended:
        # Idle slots that no other daemon needs stay where they are.
        return False
    if target.total < current.total:
        return True
    return not current.contended and current.total > requester.running
