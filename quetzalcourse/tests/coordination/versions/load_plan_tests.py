"""Tests of the load plan over many named versions."""

from __future__ import annotations

import pytest

from quetzalcourse.coordination.versions.load_plan import (
    WeightLoad,
    UpstreamVersions,
    count_usable_models,
    plan_loads,
)

STEPS = 12


def build_views(count: int, models: tuple[str, ...]) -> list[UpstreamVersions]:
    """Build upstreams at version 1 of every model."""
    return [
        UpstreamVersions(f'e-{number:02d}', dict.fromkeys(models, 1))
        for number in range(count)
    ]


def apply_loads(
    views: list[UpstreamVersions], loads: list[WeightLoad]
) -> list[UpstreamVersions]:
    """Return the upstreams after their loads."""
    versions = {view.name: dict(view.versions) for view in views}
    for load in loads:
        versions[load.upstream][load.model] = load.version
    return [UpstreamVersions(view.name, versions[view.name]) for view in views]


def load_all(
    views: list[UpstreamVersions],
    named: dict[str, int],
) -> tuple[list[UpstreamVersions], int]:
    """Carry out plans until there is nothing to load.

    :returns: the upstreams, and the number of rounds.
    """
    rounds = 0
    while loads := plan_loads(views, named):
        views = apply_loads(views, loads)
        rounds += 1
    return views, rounds


@pytest.mark.parametrize(
    ('count', 'models', 'most_rounds'),
    [(6, 2, 3), (5, 3, 3), (23, 4, 3), (1, 1, 1), (2, 1, 2)],
)
def test_each_step_has_upstreams_before_and_after_its_loads(
    count: int,
    models: int,
    most_rounds: int,
) -> None:
    # Versions of several models are named every few seconds, and a step may
    # use its own and the previous one. If all upstreams loaded each version,
    # the loads would take longer than the time between versions; if none held
    # the previous version, a step would wait for its first load.
    names = tuple(f'm-{number}' for number in range(models))
    views = build_views(count, names)
    for version in range(2, STEPS):
        named = dict.fromkeys(names, version)
        for name in names:
            at_once = [
                view for view in views if view.versions[name] >= version - 1
            ]
            assert at_once
        views, rounds = load_all(views, named)
        assert rounds <= most_rounds
        for name in names:
            current = [view for view in views if view.versions[name] == version]
            assert len(current) == -(-count // models)


def test_concurrent_loads_are_limited() -> None:
    # If five upstreams load at the same time, each takes twice as long.
    views = build_views(6, ('a', 'b'))
    assert len(plan_loads(views, {'a': 2, 'b': 2})) == 2
    busy = [UpstreamVersions('e-00', {'a': 1, 'b': 1}, 'a'), *views[1:]]
    assert len(plan_loads(busy, {'a': 2, 'b': 2})) == 1


def test_upstream_furthest_behind_loads_first() -> None:
    # An upstream two versions behind serves no step. One that is one version
    # behind still does, and a load would make it unavailable.
    views = [
        UpstreamVersions('near', {'a': 4}),
        UpstreamVersions('far', {'a': 2}),
        UpstreamVersions('here', {'a': 5}),
    ]
    assert plan_loads(views, {'a': 5}) == [WeightLoad('far', 'a', 5)]


def test_model_with_fewest_upstreams_is_planned_first() -> None:
    # The steps of one model have upstreams, those of the other have none.
    views = [UpstreamVersions(f'e-{n}', {'a': 4, 'b': 1}) for n in range(2)]
    assert plan_loads(views, {'a': 5, 'b': 5})[0].model == 'b'


def test_running_load_is_not_planned_again() -> None:
    """A running load counts as done."""
    views = [UpstreamVersions('e-0', {'a': 1}, 'a')]
    assert not plan_loads(views, {'a': 2})


@pytest.mark.parametrize(('count', 'models'), [(18, 4), (23, 4), (6, 2)])
def test_no_upstream_is_idle_in_a_burst(count: int, models: int) -> None:
    # All models submit their steps at the same time, twice as many items as
    # there are slots. If versions go to the same upstreams one after the
    # other, then of 18 upstreams four can run no model at all and five only
    # one, while items wait for the rest.
    names = tuple(f'm-{number}' for number in range(models))
    views = build_views(count, names)
    named = dict.fromkeys(names, 1)
    for version in range(2, STEPS):
        for name in names:
            named[name] = version
            views, _ = load_all(views, named)
            if version > 4:
                uses = [count_usable_models(view, named) for view in views]
                assert min(uses) >= 1
                assert max(uses) <= min(uses) + 2
