"""Health and load of upstreams, as requests show them."""

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

KEPT = timedelta(seconds=3)
MEMBER = PoolMember('s-1', 'app', '10.0.0.1:80', 'hall-a', 6)


@pytest.fixture
def clock() -> FakeClock:
    """Give a clock that stands."""
    return FakeClock()


@pytest.fixture
def pool(clock: FakeClock) -> Pool:
    """Give a pool of two upstreams."""
    built = Pool('hall-a', clock, Counters())
    built.replace(MEMBER)
    built.replace(replace(MEMBER, name='s-2', address='10.0.0.2:80'))
    return built


def test_failed_upstream_rests_longer_each_time(
    pool: Pool,
    clock: FakeClock,
) -> None:
    # An upstream crashed. Each attempt there costs its caller a timeout, so
    # it is tried again after half a second, one, two and four.
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


def test_one_late_answer_is_no_failure(pool: Pool) -> None:
    # A single long request ends at its time. The upstream is sound, and
    # taking it out would crowd the others.
    upstream = pool.find('s-1')
    assert upstream is not None
    pool.on_timeout(upstream)
    assert upstream.consecutive_failures == 0
    pool.on_timeout(upstream)
    assert upstream.consecutive_failures == 1


def test_all_resting_is_better_than_none(pool: Pool) -> None:
    # Every upstream failed lately. Refusing all callers would be worse than
    # an attempt at the one that has rested longest.
    for name in ('s-1', 's-2'):
        upstream = pool.find(name)
        assert upstream is not None
        pool.on_failure(upstream, 'reset')
    assert pool.choose('app') is not None
    assert pool.choose('app', {'s-1', 's-2'}) is None


@pytest.mark.parametrize(
    'changed', [{'address': '10.0.0.9:80'}, {'started': 7}]
)
def test_another_run_begins_without_a_past(
    pool: Pool,
    changed: dict[str, Any],
) -> None:
    # An upstream starts again under its name. What was known of its weights
    # and its health was of another run.
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


def test_weights_of_targets_split_requests() -> None:
    """The same request always goes to the same target."""
    route = replace(
        build_manifest().routes[0],
        targets=(Target('old', 90), Target('new', 10)),
    )
    chosen = [choose_service(route, f'r-{n}') for n in range(2000)]
    assert 120 < chosen.count('new') < 280
    assert choose_service(route, 'r-7') == chosen[7]


@pytest.mark.parametrize('host', ['', 'other.example'])
def test_host_decides(host: str) -> None:
    """A path of another host leads nowhere."""
    table = RouteTable()
    with pytest.raises(RefusedError) as unready:
        table.match(documents.HOST, documents.LOOKUP_PREFIX)
    assert unready.value.refusal.code == 'not_ready'
    table.adopt(build_manifest())
    assert table.match(documents.HOST, f'{documents.LOOKUP_PREFIX}7')
    with pytest.raises(RefusedError):
        table.match(host, documents.LOOKUP_PREFIX)


def test_older_or_equal_manifest_is_not_adopted() -> None:
    # A store that lags behind itself shows an older version. Routes and
    # keys that callers use would be gone again.
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
def test_malformed_entry_names_no_upstream(changed: dict[str, object]) -> None:
    # Something else writes entries. A daemon that used one would send
    # requests to whatever stands there.
    entry: dict[str, object] = {
        'service': 'app',
        'address': '10.0.0.1:80',
        'zone': 'hall-a',
        'slots': 6,
        'state': 'ready',
    }
    assert read_member('s', json.dumps(entry).encode()).is_ok()
    assert read_member('s', json.dumps(entry | changed).encode()).is_err()


def test_entry_that_changes_its_service_is_found_there_alone(
    pool: Pool,
) -> None:
    # An upstream's entry names another service. Requests for the former one
    # must not go there, and its removal must not fail and stop the feed.
    pool.replace(replace(MEMBER, service='other'))
    assert [one.name for one in pool.list_service('app')] == ['s-2']
    assert [one.name for one in pool.list_service('other')] == ['s-1']
    pool.remove('s-1')
    assert not pool.list_service('other')


def test_attempt_after_silence_stays_on_this_side_of_a_cut() -> None:
    # The own data centre is cut off from the others. A request met one of
    # theirs, which is silent, and may be sent once more. Another one of
    # theirs would be silent too, and the caller would get nothing at all.
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


def test_rare_requests_share_a_connection(pool: Pool, clock: FakeClock) -> None:
    # Hundreds of daemons have a request every second or two each. Each one
    # that went to the least loaded upstream opened a connection there, since
    # those to the others had been closed meanwhile.
    used = set()
    for _ in range(20):
        upstream = pool.choose('app')
        assert upstream is not None
        pool.on_start(upstream)
        pool.on_end(upstream)
        pool.on_idle_connection(upstream, KEPT)
        used.add(upstream.name)
        clock.move(timedelta(seconds=1.5))
    assert len(used) == 1


def test_burst_goes_where_there_is_room(pool: Pool) -> None:
    """A kept connection does not draw requests to an upstream in use."""
    kept = pool.find('s-1')
    assert kept is not None
    pool.on_idle_connection(kept, KEPT)
    for _ in range(MEMBER.slots):
        upstream = pool.choose('app')
        assert upstream is not None
        pool.on_start(upstream)
    assert kept.running == MEMBER.slots // 2


def test_closed_connection_draws_no_request(
    pool: Pool,
    clock: FakeClock,
) -> None:
    """Once it is closed, the less loaded upstream comes first again."""
    kept = pool.find('s-1')
    assert kept is not None
    pool.on_idle_connection(kept, KEPT)
    pool.on_start(kept)
    assert pool.choose('app') is kept
    clock.move(KEPT)
    assert pool.choose('app') is pool.find('s-2')
