"""Tests of the choice of a model's coordinator."""

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
    # Each step is submitted to another daemon. If the daemons disagreed on
    # the coordinator, each step would open new connections.
    members = build_members(4)
    for model in MODELS:
        coordinators = {
            find_coordinator(model, own, members).vm for own in members
        }
        assert len(coordinators) == 1


def test_models_are_spread_over_the_daemons() -> None:
    # Many models are trained. If one daemon ran them all, it would be full
    # while the others are idle.
    members = build_members(4)
    coordinators = Counter(
        find_coordinator(model, members[0], members).vm for model in MODELS
    )
    assert len(coordinators) == 4
    assert max(coordinators.values()) < len(MODELS) / 2


def test_coordinator_is_in_the_own_data_centre() -> None:
    """A daemon of another data centre is not eligible."""
    members = [*build_members(2), *build_members(6, 'hall-b')]
    for model in MODELS:
        coordinator = find_coordinator(model, members[0], members)
        assert coordinator.data_centre == 'hall-a'


def test_small_machine_is_no_coordinator() -> None:
    # A data centre has machines with half a core and with two. The streams of
    # a whole model on half a core would delay the callers of that daemon.
    weak, strong = build_members(2)
    members = [replace(weak, cores=0.5), replace(strong, cores=2.0)]
    assert {find_coordinator(one, weak, members).vm for one in MODELS} == {
        strong.vm
    }


def test_coordinator_changes_only_if_its_daemon_leaves() -> None:
    # When a daemon leaves, the models of the others stay where their
    # connections are.
    members = build_members(5)
    before = {one: find_coordinator(one, members[0], members) for one in MODELS}
    rest = members[:4]
    for model, coordinator in before.items():
        if coordinator in rest:
            assert find_coordinator(model, members[0], rest) == coordinator


def test_lone_daemon_is_its_own_coordinator() -> None:
    """This also holds while its list of live members is empty."""
    own = build_members(1)[0]
    assert find_coordinator('verse', own, [own]) == own
    assert find_coordinator('verse', own, []) == own
