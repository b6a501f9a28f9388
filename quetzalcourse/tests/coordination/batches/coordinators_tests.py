"""Which daemon runs the batches of a model."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from quetzalcourse.coordination.batches.coordinators import find_coordinator
from quetzalcourse.state.members import Member

MODELS = [f'model-{number}' for number in range(60)]


def build_members(count: int, data_centre: str = 'hall-a') -> list[Member]:
    """Build live daemons of one data centre."""
    return [
        Member(
            f'{data_centre}-{number}',
            f'{data_centre}-{number}-run',
            data_centre,
            f'{data_centre}-{number}:1',
        )
        for number in range(count)
    ]


def test_daemons_of_a_data_centre_agree_on_the_coordinator() -> None:
    # A step comes in at another daemon each time. If these did not agree,
    # each step would open its connections anew.
    members = build_members(4)
    for model in MODELS:
        coordinators = {
            find_coordinator(model, own, members).vm for own in members
        }
        assert len(coordinators) == 1


def test_models_are_spread_over_the_daemons() -> None:
    # Many models are trained. One daemon that ran them all would be full
    # while its neighbours stand idle.
    members = build_members(4)
    coordinators = Counter(
        find_coordinator(model, members[0], members).vm for model in MODELS
    )
    assert len(coordinators) == 4
    assert max(coordinators.values()) < len(MODELS) / 2


def test_coordinator_is_in_the_own_data_centre() -> None:
    """Daemons of other data centres are no coordinators."""
    members = [*build_members(2), *build_members(6, 'hall-b')]
    for model in MODELS:
        coordinator = find_coordinator(model, members[0], members)
        assert coordinator.data_centre == 'hall-a'


def test_small_machine_is_no_coordinator() -> None:
    # A data centre has machines of half a core and of two. The streams of a
    # whole model on half a core would hold up the callers there.
    weak, strong = build_members(2)
    members = [replace(weak, cores=0.5), replace(strong, cores=2.0)]
    assert {find_coordinator(one, weak, members).vm for one in MODELS} == {
        strong.vm
    }


def test_coordinator_changes_only_if_its_daemon_leaves() -> None:
    # A daemon leaves. The models that others run stay where their
    # connections are.
    members = build_members(5)
    before = {one: find_coordinator(one, members[0], members) for one in MODELS}
    rest = members[:4]
    for model, coordinator in before.items():
        if coordinator in rest:
            assert find_coordinator(model, members[0], rest) == coordinator


def test_lone_daemon_is_its_own_coordinator() -> None:
    """Also while it knows of nobody, not even itself."""
    own = build_members(1)[0]
    assert find_coordinator('verse', own, [own]) == own
    assert find_coordinator('verse', own, []) == own
