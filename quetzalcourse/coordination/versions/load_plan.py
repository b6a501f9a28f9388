"""Plans which upstreams load a named weight version, and when.

Every few seconds each of several models gets a new version, and a step of
version k may use k - 1. If every upstream loaded every version, the loads
would take longer than the time between versions. So each version goes to a
share of the upstreams only, those that are furthest behind first: half of a
model's upstreams then serve a new step at once with the previous version,
while the other half load. When all models submit at the same time, an upstream
that none of them may use is idle while items wait for the others; so a version
goes first to the upstreams that are usable by the fewest other models.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from collections.abc import Set as AbstractSet

# Loads slow each other down if more than two fifths of a service's upstreams
# load at once: 2 of 5 or 6, 9 of 23 by the users' data sheets.
MAX_LOADING_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class UpstreamVersions:
    """Weight versions of an upstream.

    :param versions: weight version by model.
    :param loading: model that it is loading, empty if none.
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
    """Choose the loads to start now.

    :param upstreams: upstreams of one service that accept work.
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
    """Count the models whose newest step may use an upstream."""
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
    """List the upstreams that should load a version, furthest behind first.

    :param target_count: number of upstreams that should hold the version.
    :param busy: upstreams that are loading. They come last: waiting for one
        of them while others are free would waste loads.
    :param uses: number of models whose newest step may use each upstream.
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
    """Tell whether an upstream holds a version or is loading it."""
    return view.versions.get(model, 0) >= version or view.loading == model


def _count_serving(
    upstreams: Sequence[UpstreamVersions],
    model: str,
    version: int,
) -> int:
    """Count the upstreams that the newest step of a model may use."""
    oldest = version - 1
    return sum(view.versions.get(model, 0) >= oldest for view in upstreams)
