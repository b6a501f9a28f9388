"""Puts the parts that serve training steps together."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from quetzalcourse.coordination.ports import (
    GenerationService,
    MemberView,
    ObjectStore,
    Scorer,
    Table,
    WeightStore,
)
from quetzalcourse.coordination.steps.delivery_metrics import DeliveryMetrics
from quetzalcourse.coordination.steps.dispatch_order import LengthEstimator
from quetzalcourse.coordination.steps.dispatcher import (
    ConcurrencyBudget,
    DispatchParts,
    MitigationPlanner,
)
from quetzalcourse.coordination.steps.staleness import NewestVersions
from quetzalcourse.coordination.steps.step_delivery import StepDelivery
from quetzalcourse.coordination.steps.step_runner import RunParts
from quetzalcourse.coordination.steps.step_service import StepService
from quetzalcourse.coordination.steps.stragglers import plan_mitigations

if TYPE_CHECKING:
    from quetzalcourse.coordination.service_levels.service_levels import (
        ServiceLevelTracker,
    )
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters


class StepStore(Table, ObjectStore, Protocol):
    """The platform's store."""


class StepPlatform(StepStore, Scorer, WeightStore, Protocol):
    """Services of the platform that steps need."""


def build_step_service(
    platform: StepPlatform,
    generation: GenerationService,
    clock: Clock,
    counters: Counters,
    levels: ServiceLevelTracker,
    members: MemberView,
    lengths: LengthEstimator | None = None,
    plan: MitigationPlanner = plan_mitigations,
) -> StepService:
    """Build everything that serves training steps.

    :param levels: counts steps and samples against the service levels.
    :param members: this daemon and the others that are live.
    :param lengths: lengths that were learnt before.
    :param plan: chooses the stragglers to help.
    """
    newest = NewestVersions(platform, clock)
    metrics = DeliveryMetrics(clock, counters, levels)
    parts = RunParts(
        platform,
        platform,
        StepDelivery(platform, newest, metrics),
        DispatchParts(
            generation,
            clock,
            counters,
            newest,
            lengths or LengthEstimator(),
            ConcurrencyBudget(),
            plan,
        ),
        members.own.incarnation,
    )
    return StepService(parts, platform, members)
