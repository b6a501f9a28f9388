"""Tests which daemons get slot and load updates immediately."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from quetzalcourse.coordination.batches.coordinator_list import CoordinatorList
from quetzalcourse.coordination.batches.coordinators import find_coordinator
from quetzalcourse.state.members import Member
from quetzalcourse.tests.peers import FakeMembers

DAEMONS = 200
DATA_CENTRES = 5
MODELS = ['verse', 'drill']


def build_members() -> list[Member]:
    """Build the daemons of a large deployment."""
    return [
        Member(
            f'vm-{number}',
            f'vm-{number}-a',
            f'hall-{number % DATA_CENTRES}',
            f'vm-{number}:1',
        )
        for number in range(DAEMONS)
    ]


def build_list(members: list[Member], *owners: Member) -> CoordinatorList:
    """Build the list of a daemon that knows some open batches.

    :param owners: owners of these batches.
    """
    batches: Any = {
        one.vm: SimpleNamespace(open=True, owner=SimpleNamespace(vm=one.vm))
        for one in owners
    }
    directory: Any = SimpleNamespace(batches=batches)
    routes: Any = SimpleNamespace(models=MODELS)
    return CoordinatorList(directory, routes, FakeMembers(members[0], members))


def test_all_coordinators_are_listed_and_nobody_else() -> None:
    # Sent to all of two hundred daemons, the updates of weight loads would be
    # thousands of messages a minute.
    members = build_members()
    told = {one.vm for one in build_list(members).list_others()}
    coordinators = {
        find_coordinator(model, own, members).vm
        for model in MODELS
        for own in members[:DATA_CENTRES]
    }
    assert told == coordinators - {members[0].vm}


def test_owner_that_is_no_coordinator_is_listed() -> None:
    # If a batch was taken over, or its coordinator was full, another daemon
    # runs it and sends its items as a coordinator does.
    members = build_members()
    ordinary = build_list(members).list_others()
    owner = next(one for one in members[1:] if one not in ordinary)
    assert owner in build_list(members, owner).list_others()
