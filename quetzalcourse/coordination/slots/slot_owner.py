"""The owner of an upstream: which daemon may run how much on it."""

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

OBSERVATION_WEIGHT = 0.5
LOAD_LAG = timedelta(seconds=3)
MAX_PEAKS = 1000
ADVANCE_DIVISOR = 4


@dataclass(frozen=True, slots=True)
class _Plan:
    """What each daemon should come to have.

    :param slots: slots to divide.
    :param training: most of them that training may have.
    :param contended: whether somebody waits for what others have idle.
    """

    slots: int
    training: int
    targets: Mapping[str, SlotTarget]
    revoked: Mapping[str, int]
    contended: bool


@dataclass(slots=True)
class _Room:
    """Slots in all, and how many of them for training."""

    total: int
    training: int

    @classmethod
    def read(cls, holder: RequesterState, now: timedelta) -> _Room:
        """Read what a daemon may be using."""
        return cls(
            holder.count_committed(now), holder.count_committed_training(now)
        )

    def shrink(self, before: _Room, after: _Room) -> None:
        """Take off what a daemon was given."""
        self.total -= after.total - before.total
        self.training -= after.training - before.training


class SlotOwner:
    """State machine that grants the slots of one upstream.

    Every report tells a daemon's whole state and every allowance replaces
    the one before, so a message that is lost, late or doubled does no harm.
    Until the allowances of the owner before have lapsed, daemons keep what
    they hold and get no more than their fallback share.

    :param upstream: the upstream, as the manifest describes it.
    :param settles: time since boot until which an owner before this one
        may have allowances in use.
    :param fallback: slots that a live daemon uses if no owner answers it,
        by incarnation.
    """

    def __init__(
        self,
        upstream: Upstream,
        terms: SlotTimings,
        settles: timedelta,
        fallback: Mapping[str, int],
    ) -> None:
        """Begin without reports."""
        self.foreign_slots = 0.0
        self._upstream = upstream
        self._terms = terms
        self._settles = settles
        self._fallback = fallback
        self._holders: dict[str, RequesterState] = {}
        self._ledger = DecayedTokenCounts()
        self._peaks: list[tuple[timedelta, int]] = []
        self._weights: Mapping[int, float] = {}

    def on_manifest(
        self,
        upstream: Upstream,
        weights: Mapping[int, float],
    ) -> None:
        """Take the upstream's new slots and headroom, and the weights.

        :param weights: account id to weight.
        """
        self._upstream = upstream
        self._weights = weights

    def on_members(self, fallback: Mapping[str, int]) -> None:
        """Take the fallback shares of the daemons that are live now."""
        self._fallback = fallback

    def on_report(
        self,
        requester: str,
        report: SlotReport,
        now: timedelta,
    ) -> bool:
        """Take a daemon's report.

        :param requester: incarnation of the daemon.
        :returns: whether it was newer than those before.
        """
        holder = self._holders.get(requester)
        if holder is None:
            self._holders[requester] = RequesterState.meet(
                requester, report, now, self._terms.term
            )
        elif not holder.accept(report, now):
            return False
        for load in report.loads:
            self._ledger.add(load.key, load.tokens, now)
        return True

    def on_load(self, busy: int, now: timedelta) -> None:
        """Compare what the engine says it holds with what was allowed.

        When daemons can't hear each other, two of them may own an upstream.
        Each then sees in the engine's load what the other one granted, and
        makes room for it. Half of the difference a time lets both settle
        where a full correction would have them take turns. The report lags,
        so it is compared with the most that was allowed of late.

        :param busy: requests that run or wait inside the engine.
        """
        self._peaks = [
            (at, committed)
            for at, committed in self._peaks
            if now - at <= LOAD_LAG
        ]
        self._peaks.append((now, self.count_committed(now)))
        known = max(committed for _, committed in self._peaks)
        unknown = max(busy - known, 0)
        self.foreign_slots += OBSERVATION_WEIGHT * (
            unknown - self.foreign_slots
        )
        if self.foreign_slots < OBSERVATION_WEIGHT:
            self.foreign_slots = 0.0

    def count_committed(self, now: timedelta) -> int:
        """Count the slots that all daemons together may be using."""
        return sum(
            holder.count_committed(now) for holder in self._holders.values()
        )

    def decide(
        self,
        now: timedelta,
        reporters: frozenset[str] = frozenset(),
    ) -> dict[str, Allowance]:
        """Divide the slots anew.

        :param reporters: daemons that wait for an answer in any case.
        :returns: allowances to send, by incarnation.
        """
        self._drop_silent(now)
        committed = self.count_committed(now)
        self._peaks.append((now, committed))
        del self._peaks[:-MAX_PEAKS]
        plan = self._plan(committed, now)
        room = _Room(
            plan.slots - committed,
            plan.training
            - sum(
                holder.count_committed_training(now)
                for holder in self._holders.values()
            ),
        )
        sent = {}
        for holder in self._sort_holders(plan):
            goal = self._bound(holder, plan.targets[holder.name], room, now)
            revoke = plan.revoked.get(holder.name, 0)
            told = _must_tell(holder, goal, revoke, contended=plan.contended)
            if holder.name in reporters:
                renewal = self._terms.renewal
                told = told or holder.awaits(goal, now, renewal)
            if not told:
                continue
            before = _Room.read(holder, now)
            holder.answered = now
            sent[holder.name] = holder.allow(
                goal, revoke, self._terms.term, contended=plan.contended
            )
            room.shrink(before, _Room.read(holder, now))
        return sent

    def _plan(self, committed: int, now: timedelta) -> _Plan:
        slots = max(self._upstream.slots - math.ceil(self.foreign_slots), 0)
        headroom = min(self._upstream.human_headroom, slots)
        claims = self._list_claims(now)
        accounts = FairnessState(self._weights, self._ledger.read())
        targets = divide_slots(slots, headroom, claims, accounts)
        missing = sum(
            max(target.total - self._holders[name].count_committed(now), 0)
            for name, target in targets.items()
        )
        revoked = self._choose_revoked(slots, headroom, targets)
        used = sum(target.human for target in targets.values())
        _add_spares(slots, targets, list(self._holders.values()))
        training = max(slots - headroom - used, 0)
        contended = missing > slots - committed or (
            sum(claim.wanted for claim in claims) > slots - headroom
        )
        if not contended:
            _add_advance(training, targets)
        return _Plan(slots, training, targets, revoked, contended=contended)

    def _list_claims(self, now: timedelta) -> list[AccountDemand]:
        return [
            claim
            for holder in self._holders.values()
            for claim in holder.list_claims(now)
        ]

    def _drop_silent(self, now: timedelta) -> None:
        # A daemon that died sends no last report, and its slots would be
        # lost for good. One that is only cut off has by then lapsed on its
        # own clock and revoked its training above the fallback share.
        limit = self._terms.term + self._terms.renewal
        for name, holder in tuple(self._holders.items()):
            gone = name not in self._fallback
            silent = now - holder.heard
            if silent >= limit or (gone and silent >= self._terms.term):
                self._holders.pop(name)

    def _sort_holders(self, plan: _Plan) -> list[RequesterState]:
        targets = plan.targets
        return sorted(
            self._holders.values(),
            key=lambda holder: (
                -min(holder.count_waiting(TrafficClass.human), 1),
                holder.current.total - targets[holder.name].total,
            ),
        )

    def _bound(
        self,
        holder: RequesterState,
        target: SlotTarget,
        room: _Room,
        now: timedelta,
    ) -> SlotTarget:
        committed = _Room.read(holder, now)
        most = committed.total + max(room.total, 0)
        training = committed.training + max(room.training, 0)
        if now < self._settles:
            share = self._fallback.get(holder.name, 0)
            most = max(committed.total, share)
            training = max(committed.training, share)
        # Training that runs on above its target keeps its slots for a while;
        # humans get theirs beside them, not after them.
        above = holder.count_running(TrafficClass.training) - target.training
        human = min(target.human + max(above, 0), most)
        return SlotTarget(human, min(target.training, training, most - human))

    def _choose_revoked(
        self,
        slots: int,
        headroom: int,
        targets: Mapping[str, SlotTarget],
    ) -> dict[str, int]:
        running = {
            name: holder.count_running(TrafficClass.training)
            for name, holder in self._holders.items()
        }
        humans = sum(
            holder.count_running(TrafficClass.human)
            + holder.count_waiting(TrafficClass.human)
            for holder in self._holders.values()
        )
        # Half of the headroom may fill up before training is cut: a stream
        # that is cut at every human request would never get anywhere.
        room = max(slots - humans - math.ceil(headroom / 2), 0)
        excess = sum(running.values()) - room
        revoked: dict[str, int] = {}
        for name, count in running.items():
            above = max(count - targets[name].training, 0)
            revoked[name] = min(max(excess, 0), above)
            excess -= revoked[name]
        return revoked


def _add_spares(
    slots: int,
    targets: Mapping[str, SlotTarget],
    holders: list[RequesterState],
) -> None:
    left = slots - sum(target.total for target in targets.values())
    wanted = {holder.name: holder.report.spares for holder in holders}
    while left > 0 and any(wanted.values()):
        for name in sorted(wanted):
            if wanted[name] and left > 0:
                targets[name].human += 1
                wanted[name] -= 1
                left -= 1


def _add_advance(training: int, targets: Mapping[str, SlotTarget]) -> None:
    # Samples that start and end one by one would each cost a report and an
    # answer; while nobody waits, a few slots more cost nothing.
    left = training - sum(target.training for target in targets.values())
    for target in targets.values():
        if target.training:
            more = min(1 + target.training // ADVANCE_DIVISOR, max(left, 0))
            target.training += more
            left -= more


def _must_tell(
    holder: RequesterState,
    goal: SlotTarget,
    revoke: int,
    *,
    contended: bool,
) -> bool:
    current = holder.current
    if revoke != current.revoke:
        return True
    if holder.count_waiting(TrafficClass.human) and goal.total > current.total:
        return True
    if holder.count_waiting(TrafficClass.training):
        if goal.training > current.training:
            return True
    if not contended:
        # Idle slots that nobody misses stay where they are.
        return False
    if goal.total < current.total:
        return True
    return not current.contended and current.total > holder.running
