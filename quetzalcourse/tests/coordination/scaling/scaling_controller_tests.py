"""Tests of orders for upstreams, and of failures around them."""

from __future__ import annotations

from datetime import timedelta

import pytest

from quetzalcourse.coordination.batches.batch_rows import END, HEAD
from quetzalcourse.coordination.scaling.place_capacity import (
    PEAK_TTL,
    RETRY_INTERVAL,
    UNAVAILABLE_BACKOFF,
)
from quetzalcourse.coordination.scaling.scaling_controller import (
    REDUCTION_INTERVAL,
)
from quetzalcourse.coordination.scaling.scaling_records import RECORDS_KEY
from quetzalcourse.coordination.scaling.upstream_planner import COOL_DOWN
from quetzalcourse.state.scaling import ScalingOutcome
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.feeds import FakeFeed
from quetzalcourse.tests.scaling import (
    ENGINES,
    FENCE_KEY,
    PLACES,
    START,
    TICK,
    Holder,
    build_head,
    build_loaded_holder,
)


async def test_waiting_step_gets_more_upstreams_once() -> None:
    holder = await build_loaded_holder()
    assert holder.orders.count('a') > ENGINES
    assert holder.orders.count('b') > ENGINES
    assert len(holder.orders.orders) == len(PLACES)


async def test_step_that_fits_gets_no_more_upstreams() -> None:
    clock = FakeClock()
    holder = Holder(FakeFeed(clock), clock)
    await holder.run_batch('step-1', 100, per_tick=12)
    assert not holder.orders.orders


async def test_daemon_without_the_lease_orders_nothing() -> None:
    # Guards against orders of a holder whose lease lapsed while it was paused.
    clock = FakeClock()
    holder = Holder(FakeFeed(clock), clock)
    holder.lease.may_send = False
    await holder.run_batch('step-1', 900, per_tick=20)
    assert not holder.orders.orders


async def test_deposed_holder_orders_nothing() -> None:
    # Guards against orders of a holder that does not know its successor yet.
    clock = FakeClock()
    table = FakeFeed(clock)
    holder = Holder(table, clock)
    table.put(FENCE_KEY, b'')
    await holder.run_batch('step-1', 900, per_tick=20)
    assert not holder.orders.orders


async def test_nothing_is_ordered_while_the_store_is_away() -> None:
    # Guards against orders that the next holder would know nothing of.
    clock = FakeClock()
    table = FakeFeed(clock)
    holder = Holder(table, clock)
    table.down = True
    await holder.run_batch('step-1', 900, per_tick=20)
    assert not holder.orders.orders


async def test_next_holder_returns_to_the_number_before_the_orders() -> None:
    # Guards against upstreams that stay for good after their holder died.
    clock = FakeClock()
    table = FakeFeed(clock)
    first = await build_loaded_holder(table, clock)
    ordered = first.orders.count('a')
    second = Holder(table, clock)
    second.grow(ordered)
    await second.run_batch('step-2', 200, per_tick=25)
    second.show('step-2', END, None)
    await second.give_back()
    assert second.orders.count('a') == ENGINES
    assert second.orders.count('b') == ENGINES


async def test_order_without_an_answer_is_repeated_and_not_doubled() -> None:
    # Guards against ever more upstreams while the platform's answers are lost.
    clock = FakeClock()
    holder = Holder(FakeFeed(clock), clock)
    holder.orders.outcome = ScalingOutcome.unanswered
    await holder.run_batch('step-1', 900, per_tick=20)
    holder.submit('step-2', 900)
    await holder.run(START * 5)
    assert len(holder.orders.list_counts('a')) > 2
    assert len(set(holder.orders.list_counts('a'))) == 1


async def test_refused_order_is_forgotten() -> None:
    # Guards against a number that nobody runs and that later orders start from.
    clock = FakeClock()
    holder = Holder(FakeFeed(clock), clock)
    holder.orders.outcome = ScalingOutcome.refused
    await holder.run_batch('step-1', 900, per_tick=20)
    holder.submit('step-2', 900)
    await holder.run(START * 5)
    assert len(holder.orders.list_counts('a')) > 2
    assert max(holder.orders.list_counts('a')) <= 2 * ENGINES
    holder.orders.outcome = ScalingOutcome.accepted
    holder.show('step-2', END, None)
    holder.show('step-1', END, None)
    sent = len(holder.orders.orders)
    await holder.run(COOL_DOWN * 2)
    assert len(holder.orders.orders) == sent


async def test_lease_that_lapses_between_two_orders_stops_the_second() -> None:
    # Guards against two daemons that order at the same time.
    clock = FakeClock()
    holder = Holder(FakeFeed(clock), clock)
    holder.orders.on_send = lambda: setattr(holder.lease, 'may_send', False)
    await holder.run_batch('step-1', 900, per_tick=20)
    assert len(holder.orders.orders) == 1


async def test_store_away_between_plan_and_order_delays_the_order() -> None:
    # Guards against an order that the next holder would know nothing of, and
    # against one that counts though it was never sent.
    clock = FakeClock()
    table = FakeFeed(clock)
    holder = Holder(table, clock)
    await holder.run(TICK)
    table.down = True
    await holder.run_batch('step-1', 900, per_tick=20)
    assert not holder.orders.orders
    table.down = False
    await holder.run(RETRY_INTERVAL * 2)
    assert set(holder.orders.list_counts('a')) == {2 * ENGINES}


async def test_data_centre_that_has_none_left_is_asked_again_later() -> None:
    # Guards against an order in each round where no upstreams are to be had.
    clock = FakeClock()
    table = FakeFeed(clock)
    holder = Holder(table, clock)
    holder.orders.outcome = ScalingOutcome.unavailable
    await holder.run_batch('step-1', 900, per_tick=20)
    sent = len(holder.orders.orders)
    assert sent == len(PLACES)
    assert table.rows[RECORDS_KEY].content == b'[]'
    await holder.run(UNAVAILABLE_BACKOFF)
    assert len(holder.orders.orders) > sent


@pytest.mark.parametrize('gone', [timedelta(seconds=1), PEAK_TTL * 0.9])
async def test_crashed_upstreams_still_count(gone: timedelta) -> None:
    # Guards against an order below the number that the platform still runs,
    # which would take upstreams away.
    clock = FakeClock()
    holder = Holder(FakeFeed(clock), clock)
    await holder.run(TICK)
    for number in range(1, ENGINES):
        holder.pool.remove(f'a-{number}')
    await holder.run(gone)
    await holder.run_batch('step-1', 400, per_tick=10)
    assert min(holder.orders.list_counts('a')) > ENGINES


async def test_daemon_that_acquires_the_lease_in_a_crash_knows_the_number() -> (
    None
):
    # Guards against an order below the number that the platform still runs.
    clock = FakeClock()
    holder = Holder(FakeFeed(clock), clock)
    holder.lease.may_send = False
    await holder.run(TICK)
    for number in range(1, ENGINES):
        holder.pool.remove(f'a-{number}')
    await holder.run(TICK)
    holder.lease.may_send = True
    await holder.run_batch('step-1', 400, per_tick=10)
    assert min(holder.orders.list_counts('a')) > ENGINES


async def test_next_holder_waits_for_what_was_ordered() -> None:
    # Guards against a second order while the upstreams of the first one start.
    clock = FakeClock()
    table = FakeFeed(clock)
    first = await build_loaded_holder(table, clock)
    assert first.orders.orders
    second = Holder(table, clock)
    second.submit('step-1', 900)
    await second.run(START / 2)
    assert not second.orders.orders


async def test_holder_without_batches_gives_upstreams_back() -> None:
    # Guards against upstreams that stay for good once the trainers are gone.
    clock = FakeClock()
    table = FakeFeed(clock)
    first = await build_loaded_holder(table, clock)
    second = Holder(table, clock)
    second.grow(first.orders.count('a'))
    second.submit('step-1', 1)
    second.show('step-1', END, None)
    await second.run(COOL_DOWN + REDUCTION_INTERVAL)
    assert second.orders.count('a') == first.orders.count('a') - 1


async def test_regained_lease_gives_nothing_back_at_once() -> None:
    # Guards against upstreams that a holder takes away while they start.
    clock = FakeClock()
    table = FakeFeed(clock)
    holder = Holder(table, clock)
    await holder.run(TICK)
    holder.lease.may_send = False
    await holder.run(COOL_DOWN)
    other = await build_loaded_holder(table, clock)
    holder.grow(other.orders.count('a'))
    holder.submit('step-1', 1)
    holder.show('step-1', END, None)
    holder.lease.token += 1
    holder.lease.may_send = True
    await holder.run(REDUCTION_INTERVAL)
    assert not holder.orders.orders


async def test_upstreams_that_operators_add_stay() -> None:
    # Guards against orders that take away what others have added.
    holder = await build_loaded_holder()
    ordered = holder.orders.count('a')
    holder.grow(ordered + 2)
    holder.show('step-1', END, None)
    await holder.give_back()
    assert holder.orders.count('a') == ENGINES + 2


async def test_spot_and_leaving_upstreams_are_no_part_of_the_number() -> None:
    clock = FakeClock()
    holder = Holder(FakeFeed(clock), clock)
    holder.add_engine('a', 10, spot=True)
    holder.add_engine('a', 11, leaving=True)
    await holder.run_batch('step-1', 400, per_tick=10)
    assert 0 < holder.orders.count('a') - ENGINES <= ENGINES
    assert holder.orders.list_counts('b')


async def test_evacuated_data_centre_gets_no_upstreams() -> None:
    clock = FakeClock()
    holder = Holder(FakeFeed(clock), clock)
    holder.pool.on_evacuation('a')
    await holder.run_batch('step-1', 900, per_tick=20)
    assert not holder.orders.list_counts('a')
    assert holder.orders.list_counts('b')


async def test_upstream_ejected_for_a_moment_needs_no_other() -> None:
    # Guards against an order for each failed attempt.
    clock = FakeClock()
    holder = Holder(FakeFeed(clock), clock)
    await holder.run_batch('step-1', 239, per_tick=12)
    for data_centre in PLACES:
        upstream = holder.pool.find(f'{data_centre}-0')
        assert upstream is not None
        holder.pool.on_failure(upstream, 'test')
    await holder.run(TICK * 2)
    assert not holder.orders.orders


async def test_batch_with_little_time_or_none_does_not_decide_for_all() -> None:
    clock = FakeClock()
    holder = Holder(FakeFeed(clock), clock)
    holder.show('hasty', HEAD, build_head('hasty', 10, due_ms=900))
    await holder.run_batch('step-1', 100, per_tick=5)
    assert not holder.orders.orders
    holder.show('timeless', HEAD, build_head('timeless', 10, due_ms=0))
    await holder.run_batch('step-2', 900, per_tick=20)
    assert holder.orders.orders


async def test_paused_holder_measures_no_time_of_items() -> None:
    # Guards against upstreams ordered for the time that a daemon stood still.
    clock = FakeClock()
    holder = Holder(FakeFeed(clock), clock)
    await holder.run_batch('step-1', 100, per_tick=5)
    clock.move(timedelta(seconds=30))
    await holder.run(TICK * 8)
    assert not holder.orders.orders


async def test_second_service_gives_upstreams_back_too() -> None:
    clock = FakeClock()
    holder = Holder(FakeFeed(clock), clock, ('others', 'engines'))
    await holder.run_batch('step-1', 900, per_tick=20)
    ordered = holder.orders.count('a')
    holder.grow(ordered)
    holder.show('step-1', END, None)
    await holder.run(COOL_DOWN + REDUCTION_INTERVAL)
    assert holder.orders.count('a') == ordered - 1


async def test_malformed_records_are_ignored() -> None:
    # Guards against a holder that a damaged row keeps from ordering.
    clock = FakeClock()
    table = FakeFeed(clock)
    table.put(RECORDS_KEY, b'{')
    holder = await build_loaded_holder(table, clock)
    assert holder.orders.orders
