"""Load balancing and ejection in the pool, route lookup and registrations."""

from __future__ import annotations

import json
from dataclasses import replace
from datetime import timedelta
from typing import Any

import pytest

from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.route_table import (
    RouteTable,
    choose_service,
)
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.platform.documents import read_manifest, read_member
from quetzalcourse.standins.rollout import documents
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.state.routing import RoutingManifest, Target
from quetzalcourse.tests.clocks import FakeClock

KEEPALIVE = timedelta(seconds=3)
MEMBER = PoolMember('s-1', 'app', '10.0.0.1:80', 'hall-a', 6)


@pytest.fixture
def clock() -> FakeClock:
    """Build a clock that tests move."""
    return FakeClock()


@pytest.fixture
def pool(clock: FakeClock) -> Pool:
    """Build a pool of two upstreams."""
    built = Pool('hall-a', clock, Counters())
    built.replace(MEMBER)
    built.replace(replace(MEMBER, name='s-2', address='10.0.0.2:80'))
    return built


def test_ejection_doubles_with_each_failure(
    pool: Pool,
    clock: FakeClock,
) -> None:
    # Each attempt at a crashed upstream costs its caller a timeout, so it is
    # tried again after half a second, one, two and four.
    failed = pool.find('s-1')
    assert failed is not None
    for seconds in (0.5, 1, 2, 4, 4):
        pool.on_failure(failed, 'late')
        clock.move(timedelta(seconds=seconds - 0.01))
        assert pool.choose('app') is pool.find('s-2')
        clock.move(timedelta(seconds=0.02))
        assert failed.is_available(clock.elapsed())
    pool.on_success(failed)
    assert failed.consecutive_failures == 0


def test_single_timeout_does_not_eject(pool: Pool) -> None:
    # A single long request timed out at a healthy upstream. Ejecting it would
    # overload the others.
    upstream = pool.find('s-1')
    assert upstream is not None
    pool.on_timeout(upstream)
    assert upstream.consecutive_failures == 0
    pool.on_timeout(upstream)
    assert upstream.consecutive_failures == 1


def test_ejected_upstream_is_chosen_if_all_are_ejected(pool: Pool) -> None:
    # Every upstream failed recently. Refusing all callers would be worse than
    # an attempt at the one whose ejection ends first.
    for name in ('s-1', 's-2'):
        upstream = pool.find(name)
        assert upstream is not None
        pool.on_failure(upstream, 'reset')
    assert pool.choose('app') is not None
    assert pool.choose('app', {'s-1', 's-2'}) is None


@pytest.mark.parametrize(
    'changed', [{'address': '10.0.0.9:80'}, {'started': 7}]
)
def test_restarted_upstream_has_fresh_state(
    pool: Pool,
    changed: dict[str, Any],
) -> None:
    # An upstream restarts under the same name. Its known weights and health
    # belong to the previous run.
    known = pool.find('s-1')
    assert known is not None
    pool.on_version(known, 'verse', 9)
    pool.replace(replace(MEMBER, **changed))
    again = pool.find('s-1')
    assert again is not None
    assert again.find_version('verse') == 0


def build_manifest(version: int = 1) -> RoutingManifest:
    """Read the stand-in's manifest."""
    content = json.dumps(documents.build_config(version)).encode()
    return read_manifest(content).unwrap()


def test_target_weights_split_requests() -> None:
    """Requests are split by weight, and each id always gets one target."""
    route = replace(
        build_manifest().routes[0],
        targets=(Target('old', 90), Target('new', 10)),
    )
    chosen = [choose_service(route, f'r-{n}') for n in range(2000)]
    assert 120 < chosen.count('new') < 280
    assert choose_service(route, 'r-7') == chosen[7]


@pytest.mark.parametrize('host', ['', 'other.example'])
def test_route_matches_only_its_host(host: str) -> None:
    """A known path of another host is refused, as is any path at first."""
    table = RouteTable()
    with pytest.raises(RefusedError) as unready:
        table.match(documents.HOST, documents.LOOKUP_PREFIX)
    assert unready.value.refusal.code == 'not_ready'
    table.adopt(build_manifest())
    assert table.match(documents.HOST, f'{documents.LOOKUP_PREFIX}7')
    with pytest.raises(RefusedError):
        table.match(host, documents.LOOKUP_PREFIX)


def test_older_or_equal_manifest_is_not_adopted() -> None:
    # A lagging store may return an older version. Applying it would remove
    # routes and keys that callers use.
    table = RouteTable()
    assert table.adopt(build_manifest(5))
    assert not table.adopt(build_manifest(5))
    assert not table.adopt(build_manifest(4))
    assert table.version == 5


@pytest.mark.parametrize(
    'changed',
    [
        {'state': 'asleep'},
        {'slots': 'many'},
        {'address': None},
        {'service': None},
        {'models': 'all'},
        {'models': [{'name': 'a', 'version': 'new'}]},
    ],
)
def test_malformed_registration_is_rejected(
    changed: dict[str, object],
) -> None:
    # Entries may be written by something other than an upstream. A daemon
    # that used one would send requests to whatever is at that address.
    entry: dict[str, object] = {
        'service': 'app',
        'address': '10.0.0.1:80',
        'zone': 'hall-a',
        'slots': 6,
        'state': 'ready',
    }
    assert read_member('s', json.dumps(entry).encode()).is_ok()
    assert read_member('s', json.dumps(entry | changed).encode()).is_err()


def test_upstream_that_changes_service_is_listed_only_there(
    pool: Pool,
) -> None:
    # A registration changes its service. Requests for the former service must
    # not go there, and its removal must not fail and stop the feed.
    pool.replace(replace(MEMBER, service='other'))
    assert [member.name for member in pool.list_service('app')] == ['s-2']
    assert [member.name for member in pool.list_service('other')] == ['s-1']
    pool.remove('s-1')
    assert not pool.list_service('other')


def test_retry_after_no_response_avoids_that_data_centre() -> None:
    # A partition separates this daemon's data centre from another one. A
    # request got no response from there and may be sent once more. A second
    # upstream behind the partition would not respond either, and the caller
    # would get nothing at all.
    built = Pool('hall-a', FakeClock(), Counters())
    built.replace(replace(MEMBER, name='far-1', data_centre='hall-b'))
    built.replace(replace(MEMBER, name='far-2', data_centre='hall-b'))
    built.replace(replace(MEMBER, name='other', data_centre='hall-c'))
    near = replace(MEMBER, name='near')
    built.replace(near)
    loaded = built.find('near')
    assert loaded is not None
    loaded.running = 5
    chosen = built.choose('app', {'far-1'}, {'hall-b'})
    assert chosen is loaded
    built.remove('near')
    chosen = built.choose('app', {'far-1'}, {'hall-b'})
    assert chosen is built.find('other')
    built.remove('other')
    assert built.choose('app', {'far-1'}, {'hall-b'}) is built.find('far-2')


def test_infrequent_requests_reuse_a_connection(
    pool: Pool, clock: FakeClock
) -> None:
    # Hundreds of daemons each have a request every second or two. Sent to the
    # least loaded upstream, each request would open a connection there, since
    # the connections to the others have been closed meanwhile.
    used = set()
    for _ in range(20):
        upstream = pool.choose('app')
        assert upstream is not None
        pool.take_slot(upstream).release()
        pool.on_idle_connection(upstream, KEEPALIVE)
        used.add(upstream.name)
        clock.move(timedelta(seconds=1.5))
    assert len(used) == 1


def test_burst_is_balanced_despite_open_connection(pool: Pool) -> None:
    """An open connection must not attract requests to a loaded upstream."""
    connected = pool.find('s-1')
    assert connected is not None
    pool.on_idle_connection(connected, KEEPALIVE)
    for _ in range(MEMBER.slots):
        upstream = pool.choose('app')
        assert upstream is not None
        pool.take_slot(upstream)
    assert connected.running == MEMBER.slots // 2


def test_closed_connection_is_not_preferred(
    pool: Pool,
    clock: FakeClock,
) -> None:
    """Once it is closed, the less loaded upstream comes first again."""
    connected = pool.find('s-1')
    assert connected is not None
    pool.on_idle_connection(connected, KEEPALIVE)
    pool.take_slot(connected)
    assert pool.choose('app') is connected
    clock.move(KEEPALIVE)
    assert pool.choose('app') is pool.find('s-2')
