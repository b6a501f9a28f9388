"""Puts the parts that serve training steps together."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from quetzalcourse.coordination.steps.delivery_counts import DeliveryCounts
from quetzalcourse.coordination.steps.dispatch_order import LengthMemory
from quetzalcourse.coordination.steps.dispatching import (
    DispatchParts,
    MakingBudget,
    RescuePlan,
)
from quetzalcourse.coordination.ports import (
    GenerationService,
    MemberView,
    ObjectStore,
    Scorer,
    Table,
    WeightStore,
)
from quetzalcourse.coordination.steps.staleness import NewestVersions
from quetzalcourse.coordination.steps.step_delivery import StepDelivery
from quetzalcourse.coordination.steps.step_runner import RunParts
from quetzalcourse.coordination.steps.steps import Steps
from quetzalcourse.coordination.steps.stragglers import plan_rescues

if TYPE_CHECKING:
    from quetzalcourse.coordination.service_levels.service_levels import (
        ServiceLevels,
    )
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters


class StepStore(Table, ObjectStore, Protocol):
    """The platform's store."""


class StepPlatform(StepStore, Scorer, WeightStore, Protocol):
    """Services of the platform that steps need."""


def build_steps(
    platform: StepPlatform,
    generation: GenerationService,
    clock: Clock,
    counters: Counters,
    levels: ServiceLevels,
    members: MemberView,
    lengths: LengthMemory | None = None,
    plan: RescuePlan = plan_rescues,
) -> Steps:
    """Build everything that serves training steps.

    :param levels: counts steps and samples against the service levels.
    :param members: this daemon and the others that are live.
    :param lengths: lengths that were learnt before.
    :param plan: chooses the stragglers to help.
    """
    newest = NewestVersions(platform, clock)
    counts = DeliveryCounts(clock, counters, levels)
    parts = RunParts(
        platform,
        platform,
        StepDelivery(platform, newest, counts),
        DispatchParts(
            generation,
            clock,
            counters,
            newest,
            lengths or LengthMemory(),
            MakingBudget(),
            plan,
        ),
        members.own.incarnation,
    )
    return Steps(parts, platform, members)
