"""Tests of orders for upstreams on the wire."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest
import pytest_asyncio

from quetzalcourse.platform.documents import read_manifest
from quetzalcourse.platform.duties import ScalingOrderClient
from quetzalcourse.standins.rollout.cloud import CloudStandin, ScaleCall
from quetzalcourse.state.scaling import (
    ScalingOrder,
    ScalingOutcome,
    ScalingPlace,
)
from quetzalcourse.transport.channel import Channel

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ORDER = ScalingOrder(ScalingPlace('engines', 'hall-a'), 9, 3)


@pytest_asyncio.fixture
async def cloud() -> AsyncIterator[CloudStandin]:
    """Start the platform's API."""
    standin = CloudStandin()
    await standin.server.start()
    yield standin
    await standin.server.stop()


@pytest.mark.parametrize(
    ('down', 'sold_out', 'outcome'),
    [
        (False, False, ScalingOutcome.accepted),
        (False, True, ScalingOutcome.unavailable),
        (True, False, ScalingOutcome.refused),
    ],
)
async def test_answers_to_an_order(
    cloud: CloudStandin, down: bool, sold_out: bool, outcome: ScalingOutcome
) -> None:
    cloud.down = down
    cloud.sold_out = sold_out
    channel = Channel(cloud.server.address)
    assert await ScalingOrderClient(channel, 'front-1').send(ORDER) is outcome
    await channel.close()
    received = ScaleCall('front-1', 3, 'engines', 'hall-a', 9)
    assert cloud.orders == ([] if down else [received])


async def test_order_that_was_not_sent_is_refused() -> None:
    # Guards against a platform that is down and taken for one that has none.
    channel = Channel('127.0.0.1:1')
    outcome = await ScalingOrderClient(channel, 'front-1').send(ORDER)
    await channel.close()
    assert outcome is ScalingOutcome.refused


def test_prices_of_data_centres_are_read() -> None:
    manifest = {
        'version': 1,
        'services': [
            {
                'name': 'engines',
                'scaling': {
                    'min': 1,
                    'max': 12,
                    'boot_s': 4.0,
                    'zone_prices': {'hall-a': 0.8},
                },
            }
        ],
    }
    read = read_manifest(msgspec.json.encode(manifest)).unwrap()
    scaling = read.services['engines'].scaling
    assert scaling is not None
    assert scaling.prices == {'hall-a': 0.8}
