"""Assembles the components that serve training steps."""

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
    """Table and object store of the platform."""


class StepPlatform(StepStore, Scorer, WeightStore, Protocol):
    """Platform services that steps depend on."""


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
    """Build the step service with all its dependencies.

    :param levels: service levels that steps and samples count against.
    :param members: this daemon and the other live ones.
    :param lengths: length estimates to start with.
    :param plan: chooses the stragglers to move or copy.
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
