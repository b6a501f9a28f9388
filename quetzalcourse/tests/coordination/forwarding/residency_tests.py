"""Data residency of routes and client accounts."""

from __future__ import annotations

import json
from typing import Any

import pytest

from quetzalcourse.coordination.batches.placement import (
    Placement,
    PlacementRequest,
)
from quetzalcourse.coordination.feeds.relay_peers import RelayPeers
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.residency import Residency
from quetzalcourse.coordination.forwarding.route_table import RouteTable
from quetzalcourse.platform.documents import read_manifest
from quetzalcourse.standins.rollout import documents
from quetzalcourse.state.batches import BatchHead
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.coordinators import build_allocator

REGIONS = {'hall-n': 'north', 'hall-o': 'north', 'hall-s': 'south'}
NORTH = Member('vm-n', 'vm-n-run', 'hall-n', 'n:1')
OTHER_NORTH = Member('vm-o', 'vm-o-run', 'hall-o', 'o:1')
SOUTH = Member('vm-s', 'vm-s-run', 'hall-s', 's:1')
HEAD = BatchHead('b', documents.ACCOUNT, 'r-drill', 'h', 1, 0, 7500, 20_000)


def build_residency(
    route: list[str] | None = None,
    account: list[str] | None = None,
) -> Residency:
    """Build a residency with a batch route and an account bound to regions."""
    config = documents.build_config()
    config['routes'][-1]['allowed_regions'] = route or []
    config['tenants'][0]['allowed_regions'] = account or []
    routes = RouteTable()
    routes.adopt(read_manifest(json.dumps(config).encode()).unwrap())
    return Residency(REGIONS, routes)


@pytest.mark.parametrize(
    ('route', 'account', 'allowed'),
    [
        ([], [], None),
        (['north'], [], {'north'}),
        ([], ['south'], {'south'}),
        (['north', 'south'], ['south'], {'south'}),
        (['north'], ['south'], set()),
    ],
)
def test_route_and_account_regions_are_intersected(
    route: list[str],
    account: list[str],
    allowed: set[str] | None,
) -> None:
    """Guards against a route's binding that overrides an account's."""
    residency = build_residency(route, account)
    assert residency.find_batch_regions(HEAD) == allowed


def test_upstreams_outside_allowed_regions_get_nothing() -> None:
    """Guards against bodies that leave their regions for an idle upstream."""
    pool = Pool('hall-n', FakeClock(), Counters(), REGIONS)
    for data_centre in (*REGIONS, 'hall-unknown'):
        pool.replace(
            PoolMember(
                data_centre, 'engines', f'{data_centre}:1', data_centre, 8
            )
        )
    south = frozenset({'south'})
    chosen = pool.choose('engines', allowed=south)
    assert chosen is pool.find('hall-s')
    assert pool.choose('engines', ['hall-s'], allowed=south) is None
    allocator, _ = build_allocator(pool, FakeClock())
    placement = Placement(pool, allocator, FakeClock())
    request = PlacementRequest('engines', '', 0, allowed_regions=south)
    assert placement.list_eligible(request) == [pool.find('hall-s')]


def test_batch_is_offered_and_taken_over_within_its_regions() -> None:
    """Guards against a batch that moves to a daemon outside its regions."""
    members = [NORTH, OTHER_NORTH, SOUTH]
    residency = build_residency(['north'])
    assert residency.may_store_items(HEAD, OTHER_NORTH)
    assert not residency.may_store_items(HEAD, SOUTH)
    candidates = residency.list_takeover_candidates(HEAD, members, 'hall-s')
    assert candidates == [NORTH, OTHER_NORTH]
    assert residency.list_takeover_candidates(HEAD, [SOUTH], 'hall-n') == []
    assert residency.list_takeover_candidates(HEAD, [SOUTH], 'hall-s') == [
        SOUTH
    ]
    unbound = build_residency()
    assert unbound.list_takeover_candidates(HEAD, members, 'hall-n') == members


def test_store_is_reached_through_daemons_of_the_same_region() -> None:
    """Guards against bodies that reach the store through another region."""
    follower: Any = None
    helpers = RelayPeers(follower, FakeClock())
    residency = build_residency(['north'])
    helpers.restrict(lambda one: residency.may_relay(NORTH, one))
    helpers.on_report(SOUTH, hears_store=True)
    assert helpers.find() is None
    helpers.on_report(OTHER_NORTH, hears_store=True)
    assert helpers.find() is OTHER_NORTH
    assert build_residency().may_relay(NORTH, SOUTH)
