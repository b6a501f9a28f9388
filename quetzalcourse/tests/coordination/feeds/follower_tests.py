"""Tests of the local copies of the store's tables."""

from __future__ import annotations

from quetzalcourse.coordination.feeds.follower import TableFollower
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.rows import Row
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.feeds import FakeFeed

ODD_KEY = 'servers//b-odd'


async def test_row_that_a_listener_fails_on_holds_up_no_other() -> None:
    # Guards against a row of another writer that ends the feed of its table.
    clock = FakeClock()
    follower = TableFollower(FakeFeed(clock), 'servers', clock, Counters())
    applied: list[str] = []
    heard: list[str] = []

    def apply(rows: list[Row]) -> None:
        for row in rows:
            if row.key == ODD_KEY:
                raise OverflowError
            applied.append(row.key)

    follower.on_rows(apply)
    follower.on_rows(lambda rows: heard.extend(row.key for row in rows))
    keys = ['servers//a', ODD_KEY, 'servers//c']
    follower.apply_rows([Row(key, b'', 2) for key in keys])
    assert {'servers//a', 'servers//c'} == set(applied)
    assert heard == keys
    assert sorted(follower.rows) == keys
