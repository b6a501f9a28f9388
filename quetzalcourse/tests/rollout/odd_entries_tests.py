"""Daemons while a row of the store comes from another writer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.cluster import RolloutCluster, build_batch
from quetzalcourse.tests.odd_entries import DEEP, ODD_ENTRIES
from quetzalcourse.tests.rollout.calls import await_membership, look_up

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ODD_NAME = 'a-first'

# Table, part and key of rows that daemons read besides those of servers.
OTHER_ROWS = (
    ('op', '', f'version/{documents.MODEL}'),
    ('op', '', 'version/another'),
    ('members', 'hall-a', 'vm-9'),
    ('batches', 'b-9', 'head'),
    ('batches', 'b-9', 'owner'),
    ('batches', 'b-9', 'progress'),
    ('quarantine', '', 'odd'),
)


@pytest_asyncio.fixture(params=sorted(ODD_ENTRIES))
async def odd_cluster(
    request: pytest.FixtureRequest,
) -> AsyncIterator[RolloutCluster]:
    """Start two daemons while an odd entry stands among the servers."""
    running = RolloutCluster(daemons=2)
    await running.store.write('servers', ODD_NAME, ODD_ENTRIES[request.param])
    await running.start()
    yield running
    await running.stop()


async def test_odd_server_entry_names_no_server(
    odd_cluster: RolloutCluster,
) -> None:
    # Guards against one entry of another writer that stops the whole service,
    # at the start and when it appears again.
    await await_membership(odd_cluster)
    for daemon in odd_cluster.daemons:
        assert daemon.pool.find(ODD_NAME) is None
    assert (await look_up(odd_cluster)).status == 200
    await run_batch(odd_cluster)


@pytest.mark.parametrize('content', [DEEP, b'\xff\x00\xfe', b'9' * 100])
async def test_odd_rows_of_other_tables_are_ignored(
    two_daemons: RolloutCluster,
    content: bytes,
) -> None:
    # Guards against a row of another writer that stops the feed of its table.
    for table, part, key in (('servers', '', ODD_NAME), *OTHER_ROWS):
        await two_daemons.store.write(table, key, content, part)
    await two_daemons.add_daemon('vm-2')
    await await_membership(two_daemons)
    assert (await look_up(two_daemons)).status == 200
    await run_batch(two_daemons)


async def test_value_that_is_not_base64_hides_no_other_row(
    cluster: RolloutCluster,
) -> None:
    # Guards against a value that makes a whole answer of the store unreadable.
    await cluster.store.write_text('servers', ODD_NAME, '%')
    await cluster.add_daemon('vm-1')
    assert (await look_up(cluster)).status == 200
    await run_batch(cluster)


async def test_odd_entry_does_not_stand_for_a_server_named_like_its_end(
    cluster: RolloutCluster,
) -> None:
    # Guards against an entry whose name ends like that of a sound server and
    # which removes that server.
    sound = cluster.engines[0].name
    await cluster.store.write('servers', f'odd/{sound}', DEEP)
    await run_batch(cluster)
    assert cluster.daemons[0].pool.find(sound) is not None


async def run_batch(cluster: RolloutCluster) -> None:
    """Run a batch and check that its item completes."""
    caller = cluster.caller
    reply = await caller.submit(
        cluster.address(-1), 'b-1', build_batch(['i-1'])
    )
    assert reply.status == 202
    results = await caller.read_all(cluster.address(0), 'b-1')
    assert [result['state'] for result in results] == ['completed']
