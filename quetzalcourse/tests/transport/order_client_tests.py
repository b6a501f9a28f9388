"""Orders and reports over real sockets, with and without a lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import pytest_asyncio
from result import Err, Ok

from quetzalcourse.standins.platform import PlatformStandin
from quetzalcourse.state.engines import OrderProblem
from quetzalcourse.state.fleet import FleetOrder, FleetPlace
from quetzalcourse.state.usage import FrozenReport
from quetzalcourse.transport.order_client import OrderClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PLACE = FleetPlace('lac-hall', 'large')
REPORT = FrozenReport('20260101T000000Z', 3, b'{"frozen": true}')


@pytest_asyncio.fixture
async def platform() -> AsyncIterator[PlatformStandin]:
    """Start a stand-in platform."""
    running = PlatformStandin()
    await running.start()
    yield running
    await running.stop()


@pytest_asyncio.fixture
async def client(platform: PlatformStandin) -> AsyncIterator[OrderClient]:
    """Create a client of the platform."""
    async with aiohttp.ClientSession() as session:
        yield OrderClient(session, platform.address, 'vm-1-a', 5)


def make_order(token: int, count: int, order_id: str) -> FleetOrder:
    """Make an order without a deadline."""
    return FleetOrder(order_id, token, PLACE, count, 0)


async def test_nothing_is_sent_after_the_lease_expired(
    platform: PlatformStandin,
    client: OrderClient,
) -> None:
    # The lease expires while the connection is opened. The headers are sent
    # by then, but the order itself must not follow.
    assert await client.report(REPORT, lambda: False) == Err(
        OrderProblem.not_sent
    )
    order = make_order(1, 2, 'lac-hall/large/1')
    assert await client.order(order, lambda: False) == Err(
        OrderProblem.not_sent
    )
    assert await client.report(REPORT, lambda: True) == Ok(None)
    assert len(platform.record.reports) == 1
    assert not platform.record.orders


async def test_order_repeated_after_a_lost_response_counts_once(
    platform: PlatformStandin,
    client: OrderClient,
) -> None:
    # The platform accepts an order and its response is lost, so the order is
    # sent again. Treated as another order, it would cost twice.
    platform.faults.lose_answers = 1
    order = make_order(1, 2, 'lac-hall/large/1')
    assert await client.order(order, lambda: True) == Err(
        OrderProblem.unanswered
    )
    assert await client.order(order, lambda: True) == Ok(None)
    assert len(platform.orders.orders) == 1
    (found,) = (await client.list_counts()).unwrap()
    assert (found.place, found.count) == (PLACE, 2)


async def test_order_with_a_stale_token_is_refused(
    platform: PlatformStandin,
    client: OrderClient,
) -> None:
    # A lease holder is paused after its lease check, which no sender can
    # prevent. The receiver has seen the next holder's token by then.
    newer = make_order(2, 5, 'lac-hall/large/2')
    assert await client.order(newer, lambda: True) == Ok(None)
    older = make_order(1, 2, 'lac-hall/large/1')
    assert await client.order(older, lambda: True) == Err(
        OrderProblem.stale_token
    )
    assert platform.orders.counts == {('lac-hall', 'large'): 5}
