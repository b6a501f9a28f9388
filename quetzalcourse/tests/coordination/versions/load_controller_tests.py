"""Tests of the marks that keep an upstream from two loads at a time."""

from __future__ import annotations

import asyncio
import json
from datetime import timedelta
from typing import Any

from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.route_table import RouteTable
from quetzalcourse.coordination.versions.load_controller import (
    LoadController,
    OrderOutcome,
    UpstreamReport,
)
from quetzalcourse.platform.documents import read_manifest
from quetzalcourse.standins.rollout import documents
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.clocks import FakeClock, settle


class HeldLease:
    """Lease that is held throughout."""

    held = True
    may_send = True
    token = 1


class Control:
    """Upstreams that hold a version as soon as it is ordered."""

    def __init__(self) -> None:
        """Start without orders."""
        self.orders: list[str] = []

    async def order(self, upstream: Any, order: Any) -> OrderOutcome:
        """Accept an order."""
        self.orders.append(upstream.name)
        return OrderOutcome.holds

    async def report(self, _: Any) -> UpstreamReport:
        """Report an idle upstream."""
        return UpstreamReport({documents.MODEL: 1}, 0, busy=False)


def build_controller(control: Control, clock: FakeClock) -> LoadController:
    """Build a controller of one upstream that holds the first version."""
    counters = Counters()
    pool = Pool('hall-a', clock, counters)
    pool.replace(
        PoolMember(
            'e',
            documents.ENGINES,
            'e:1',
            'hall-a',
            4,
            versions={documents.MODEL: 1},
        )
    )
    routes = RouteTable()
    config = json.dumps(documents.build_config()).encode()
    routes.adopt(read_manifest(config).unwrap())
    lease: Any = HeldLease()
    return LoadController(control, lease, pool, routes, clock, counters, 'vm')


async def test_load_whose_task_never_began_is_ordered_again() -> None:
    """Guards against an upstream that counts as loading for good."""
    control = Control()
    clock = FakeClock()
    controller = build_controller(control, clock)
    controller.on_named(documents.MODEL, 2)
    running = asyncio.ensure_future(controller.run())
    await asyncio.sleep(0)
    own = {asyncio.current_task(), running}
    for task in asyncio.all_tasks() - own:
        task.cancel()
    await settle()
    assert control.orders == []
    await clock.advance(timedelta(seconds=1))
    running.cancel()
    assert control.orders == ['e']
