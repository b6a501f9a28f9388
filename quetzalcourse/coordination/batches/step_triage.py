"""Runs whole groups first while the slots don't suffice for all open steps.

Under a shortage, steps of several trainers are open at once and their items
need more slot time than there is until they are due. The groups that can be
complete in time start first, one whole group before the next; groups that
can't be complete in time any more, and groups that their caller does not wait
for, run on the slots that these leave.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.group_progress import (
    ZERO,
    StepProgress,
    measure_groups,
)
from quetzalcourse.coordination.batches.step_order import (
    UNKNOWN_TURN,
    GroupPlan,
    GroupTurn,
    Outlook,
    plan_groups,
)
from quetzalcourse.coordination.batches.trainer_records import TrainerRecords
from quetzalcourse.log import get_log
from quetzalcourse.state.batches import MILLISECOND

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from quetzalcourse.coordination.batches.batch_run import BatchRun
    from quetzalcourse.coordination.batches.duration_predictor import (
        DurationPredictor,
    )
    from quetzalcourse.coordination.batches.item_order import WaitingItem
    from quetzalcourse.coordination.batches.item_run import ItemRun
    from quetzalcourse.coordination.batches.slot_supply import SlotSupply
    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

# Plans are renewed at this interval, and whenever a batch starts or ends.
PLAN_INTERVAL = timedelta(milliseconds=100)
# Lateness that hardly holds callers up, as a share of the time until results
# are due; they wait for longer than that.
TOLERATED_LATENESS = 0.25
# How much later than its batch expires a deferred item claims to be due, so
# that any item of another coordinator that can be in time gets the slot.
DEFERRAL = timedelta(seconds=30)
# Time without a shortage after which it counts as ended.
SHORTAGE_END_DELAY = timedelta(seconds=1)
# Weight of a new estimate in the moving average of the slots at hand, which
# change with each item that other coordinators start.
SLOTS_WEIGHT = 0.4
# Steps in which the open work is reported to other coordinators, in seconds.
WORK_UNIT = 5
log = get_log('batches')


@dataclass(slots=True)
class ServicePlan:
    """Plan for the batches that use a service.

    :param slots: moving average of the slots at hand.
    :param work: slot time of the groups that callers wait for.
    :param shortage_until: time since boot until which a shortage counts as
        lasting, ``None`` without one.
    """

    groups: GroupPlan = field(default_factory=GroupPlan)
    slots: float | None = None
    work: timedelta = ZERO
    shortage_until: timedelta | None = None


class StepTriage:
    """Orders the items of open steps by what can still become of their groups.

    Without a shortage the order is by latest start, as without this class.
    """

    def __init__(
        self,
        durations: DurationPredictor,
        supply: SlotSupply,
        routes: RouteTable,
        clock: Clock,
    ) -> None:
        """Start without a plan."""
        self._durations = durations
        self._supply = supply
        self._routes = routes
        self._clock = clock
        self._plans: dict[str, ServicePlan] = {}
        self._work: dict[tuple[str, int], float] = {}
        self._records = TrainerRecords()
        self._open: dict[str, BatchRun] = {}
        self._planned_at = ZERO

    def update(
        self, batches: Collection[BatchRun], waiting: Sequence[WaitingItem]
    ) -> None:
        """Renew the plans if they are old or the batches are others.

        While nothing waits there is no shortage, and nothing to plan.
        """
        now = self._clock.elapsed()
        if self._update_open(batches):
            self._planned_at = -PLAN_INTERVAL
        if now - self._planned_at < PLAN_INTERVAL:
            return
        self._planned_at = now
        planned = batches if waiting else ()
        steps = {one.head.id: self._measure(one) for one in planned}
        self._work = _sum_work(planned, steps)
        by_service: dict[str, list[StepProgress]] = defaultdict(list)
        for batch in planned:
            by_service[self._find_service(batch)].append(steps[batch.head.id])
        # Batches whose route was removed use no service.
        by_service.pop('', None)
        for service in by_service.keys() | self._plans.keys():
            self._plan(service, by_service[service], now)

    def sort(self, waiting: Sequence[WaitingItem]) -> list[WaitingItem]:
        """Sort items by the outlook of their group, then by latest start."""
        return sorted(waiting, key=self._rank)

    def compute_latest_start(self, batch: BatchRun, run: ItemRun) -> timedelta:
        """Compute when an item has to start, much later if it is deferred."""
        if self._find_turn(batch, run).outlook is not Outlook.in_time:
            return batch.expires_at + DEFERRAL
        return self._durations.compute_latest_start(batch, run)

    def find_open_work(self, batch: BatchRun) -> float:
        """Find the slot time in seconds that items like a batch's still need.

        These are the items of the same model and oldest version.
        """
        return self._work.get((batch.head.model, batch.head.min_version), 0)

    def report_metrics(self, counters: Counters) -> None:
        """Update the gauges of groups by outlook and of shortages."""
        plans = self._plans.values()
        short = [one for one in plans if one.shortage_until is not None]
        counters.set('slot_shortages', len(short))
        for outlook in Outlook:
            total = sum(one.groups.count(outlook) for one in plans)
            counters.set('batch_groups', total, outlook=outlook.name)

    def _update_open(self, batches: Collection[BatchRun]) -> bool:
        """Record the steps that ended.

        :returns: whether a batch started or ended.
        """
        opened = {batch.head.id: batch for batch in batches}
        ended = self._open.keys() - opened.keys()
        for name in ended:
            self._records.on_step_end(self._measure(self._open[name]))
        changed = bool(ended) or len(opened) > len(self._open)
        self._open = opened
        return changed

    def _plan(
        self, service: str, steps: list[StepProgress], now: timedelta
    ) -> None:
        plan = self._plans.setdefault(service, ServicePlan())
        plan.work = sum((step.work for step in steps), ZERO)
        slots = self._supply.estimate(service, plan.work)
        if steps and not slots:
            # Nothing can start now, and upstreams that all failed at once are
            # mostly back in a moment.
            return
        if plan.slots is None or not steps:
            plan.slots = slots
        plan.slots += (slots - plan.slots) * SLOTS_WEIGHT
        plan.groups = plan_groups(
            steps,
            self._records,
            plan.slots,
            now,
            in_shortage=plan.shortage_until is not None,
        )
        if plan.groups.shortage:
            if plan.shortage_until is None:
                self._log_shortage('Shortage of slots began.', service, plan)
            plan.shortage_until = now + SHORTAGE_END_DELAY
        elif plan.shortage_until is not None and now >= plan.shortage_until:
            plan.shortage_until = None
            self._log_shortage('Shortage of slots ended.', service, plan)

    def _log_shortage(
        self, event: str, service: str, plan: ServicePlan
    ) -> None:
        log.info(
            event,
            service=service,
            slots=round(plan.slots or 0, 1),
            work_seconds=round(plan.work.total_seconds(), 1),
            **{one.name: plan.groups.count(one) for one in Outlook},
        )

    def _measure(self, batch: BatchRun) -> StepProgress:
        head = batch.head
        groups = measure_groups(batch, self._durations)
        return StepProgress(
            (head.client_account, head.route, head.model),
            self._routes.find_rank(head.route, head.client_account),
            batch.due,
            batch.due + head.due_ms * MILLISECOND * TOLERATED_LATENESS,
            head.wanted_groups or len(groups),
            groups,
        )

    def _find_service(self, batch: BatchRun) -> str:
        """Find the service that most items of a batch use."""
        route = self._routes.find(batch.head.route)
        if route is None:
            return ''
        return max(route.targets, key=lambda one: one.weight).service

    def _find_turn(self, batch: BatchRun, run: ItemRun) -> GroupTurn:
        plan = self._plans.get(self._find_service(batch))
        if plan is None or not plan.groups.shortage:
            return UNKNOWN_TURN
        key = batch.head.id, run.item.group or run.item.id
        return plan.groups.turns.get(key, UNKNOWN_TURN)

    def _rank(
        self, one: WaitingItem
    ) -> tuple[Outlook, int, GroupTurn, timedelta, int]:
        batch, run = one
        turn = self._find_turn(batch, run)
        head = batch.head
        rank = 0
        if turn is not UNKNOWN_TURN:
            rank = self._routes.find_rank(head.route, head.client_account)
        return (
            turn.outlook,
            rank,
            turn,
            self._durations.compute_latest_start(batch, run),
            -run.item.length_estimate,
        )


def _sum_work(
    batches: Collection[BatchRun], steps: Mapping[str, StepProgress]
) -> dict[tuple[str, int], float]:
    """Sum the slot time in seconds, by model and oldest version.

    :param steps: progress of each batch.
    """
    work: dict[tuple[str, int], timedelta] = defaultdict(timedelta)
    for batch in batches:
        head = batch.head
        work[head.model, head.min_version] += steps[head.id].work
    return {
        key: round(one.total_seconds() / WORK_UNIT) * WORK_UNIT
        for key, one in work.items()
    }
