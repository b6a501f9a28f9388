"""Which upstreams load a named weight version, and when.

The load that this answers: every few seconds each of several models gets a
new version, and a step of version k may use k - 1. Were every upstream to
load every version, loads would take longer than the time between versions.
So each version goes to a share of the upstreams only, those that are
furthest behind first: half of a model's upstreams then serve a new step at
once with the version before, while the other half load. Where all models
submit at the same moment, an upstream that none of them may use stands idle
while items wait for the others; so a version goes first to upstreams that
fit the fewest other models.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from collections.abc import Set as AbstractSet

# Loads slow each other down when more than two fifths of a service's
# upstreams load at once: 2 of 5 or 6, 9 of 23 by the users' sheets.
MAX_LOADING_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class UpstreamVersions:
    """An upstream as the plan sees it.

    :param versions: weight version of each model.
    :param loading: model that it loads now, empty if none.
    """

    name: str
    versions: Mapping[str, int]
    loading: str = ''


@dataclass(frozen=True, slots=True)
class WeightLoad:
    """A version that an upstream is to load."""

    upstream: str
    model: str
    version: int


def plan_loads(
    upstreams: Sequence[UpstreamVersions],
    named: Mapping[str, int],
) -> list[WeightLoad]:
    """Choose the loads to begin now.

    :param upstreams: upstreams of one service that take work.
    :param named: newest named version of each of its models.
    """
    busy = {view.name for view in upstreams if view.loading}
    uses = {view.name: count_usable_models(view, named) for view in upstreams}
    max_loading = max(int(len(upstreams) * MAX_LOADING_SHARE), 1)
    loads: list[WeightLoad] = []
    target_count = -(-len(upstreams) // max(len(named), 1))
    by_shortage = sorted(
        named, key=lambda model: _count_serving(upstreams, model, named[model])
    )
    for model in by_shortage:
        targets = _list_targets(
            upstreams, model, named[model], target_count, busy, uses
        )
        for name in targets:
            if len(busy) < max_loading and name not in busy:
                busy.add(name)
                uses[name] += 1
                loads.append(WeightLoad(name, model, named[model]))
    return loads


def count_usable_models(
    view: UpstreamVersions, named: Mapping[str, int]
) -> int:
    """Count the models whose newest step an upstream may run."""
    return sum(
        _holds(view, model, version - 1) for model, version in named.items()
    )


def _list_targets(
    upstreams: Sequence[UpstreamVersions],
    model: str,
    version: int,
    target_count: int,
    busy: AbstractSet[str],
    uses: Mapping[str, int],
) -> list[str]:
    """List the upstreams that should load a version, first those far behind.

    :param target_count: how many upstreams should hold it.
    :param busy: upstreams that load already; waiting for one of them while
        others are free would leave loads unused.
    :param uses: models whose newest step each upstream may run.
    """
    behind = [view for view in upstreams if not _holds(view, model, version)]
    current = len(upstreams) - len(behind)
    behind.sort(
        key=lambda view: (
            view.name in busy,
            _holds(view, model, version - 1),
            uses[view.name],
            view.versions.get(model, 0),
        )
    )
    return [view.name for view in behind[: max(target_count - current, 0)]]


def _holds(view: UpstreamVersions, model: str, version: int) -> bool:
    """Tell whether an upstream has a version or is loading it."""
    return view.versions.get(model, 0) >= version or view.loading == model


def _count_serving(
    upstreams: Sequence[UpstreamVersions],
    model: str,
    version: int,
) -> int:
    """Count the upstreams that the newest step of a model may use."""
    oldest = version - 1
    return sum(view.versions.get(model, 0) >= oldest for view in upstreams)
