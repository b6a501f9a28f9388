"""Orders for upstreams: stored first, then sent under a lease."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from result import Err

from quetzalcourse.coordination.fleet.in_flight import InFlightCalls
from quetzalcourse.coordination.usage.usage_reports import scan_rows
from quetzalcourse.coordination.usage.usage_rows import require_unchanged
from quetzalcourse.log import get_log
from quetzalcourse.state.decoding import decode_json
from quetzalcourse.state.engines import OrderProblem
from quetzalcourse.state.fleet import FleetOrder, FleetPlace, OrderIntent
from quetzalcourse.state.rows import Row, Transaction, Write

if TYPE_CHECKING:
    from quetzalcourse.coordination.leases.lease import Lease
    from quetzalcourse.coordination.ports import Table, UpstreamOrders
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

INTENT_PREFIX = 'order/'
REFUSAL_BACKOFF = timedelta(minutes=2)
log = get_log('orders')


def build_intent_key(place: FleetPlace) -> str:
    """Build the key of the row of a place's last intent."""
    return f'{INTENT_PREFIX}{place.data_centre}/{place.kind}'


def build_order_id(intent: OrderIntent) -> str:
    """Build the id of an intent's order, the same for every sender."""
    place = intent.place
    return f'{place.data_centre}/{place.kind}/{intent.sequence}'


class FleetOrders:
    """Sends orders while the lease is held, each stored as an intent first.

    An intent is settled once the platform accepted or refused its order.
    Until then every lease holder sends the same order again, so that a lost
    answer is harmless, and the next decision for the place waits.

    :param lease: lease on platform orders, acquired and renewed elsewhere.
    """

    def __init__(
        self,
        table: Table,
        platform: UpstreamOrders,
        lease: Lease,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Start without calls in flight or refused places."""
        self.in_flight = InFlightCalls()
        self._table = table
        self._platform = platform
        self._lease = lease
        self._clock = clock
        self._counters = counters
        self._refused_at: dict[FleetPlace, timedelta] = {}

    def list_refused(self) -> frozenset[FleetPlace]:
        """List the places whose order was refused recently."""
        now = self._clock.elapsed()
        return frozenset(
            place
            for place, since in self._refused_at.items()
            if now - since < REFUSAL_BACKOFF
        )

    async def reconcile(
        self,
        desired: dict[FleetPlace, int],
        observed: dict[FleetPlace, int],
        notice: timedelta,
    ) -> None:
        """Order the difference between desired and observed counts.

        :param desired: number of upstreams that each place should have.
        :param observed: number that the platform listed just now.
        :param notice: time for upstreams to drain before their removal.
        """
        answer = await scan_rows(self._table, INTENT_PREFIX)
        if isinstance(answer, Err) or not self._lease.held:
            return
        rows = {row.key: row for row in answer.ok_value}
        for place, count in sorted(desired.items()):
            row = rows.get(build_intent_key(place))
            await self._reconcile_place(
                place, row, count, observed.get(place, 0), notice
            )

    async def _reconcile_place(
        self,
        place: FleetPlace,
        row: Row | None,
        count: int,
        observed: int,
        notice: timedelta,
    ) -> None:
        intent = None
        if row is not None:
            intent = decode_json(row.content, OrderIntent)
        if intent is None or intent.settled:
            if count == observed or place in self.list_refused():
                return
            sequence = intent.sequence + 1 if intent else 1
            intent = OrderIntent(place, sequence, count, settled=False)
            row = await self._write_intent(row, intent)
        if row is not None:
            await self._send_order(row, intent, notice)

    async def _write_intent(
        self,
        row: Row | None,
        intent: OrderIntent,
    ) -> Row | None:
        key = build_intent_key(intent.place)
        content = msgspec.json.encode(intent)
        answer = await self._table.transact(
            Transaction(
                (self._lease.fence_condition(), require_unchanged(key, row)),
                (Write(key, content),),
            )
        )
        if isinstance(answer, Err) or not answer.ok_value.applied:
            return None
        version = row.version + 1 if row else 1
        return Row(key, content, version)

    async def _send_order(
        self,
        row: Row,
        intent: OrderIntent,
        notice: timedelta,
    ) -> None:
        timeout = self._lease.terms.order_timeout
        order = FleetOrder(
            build_order_id(intent),
            self._lease.token,
            intent.place,
            intent.count,
            (self._clock.now() + timeout).timestamp(),
            notice.total_seconds(),
        )
        sent = await self.in_flight.run(
            self._platform.order(order, lambda: self._lease.may_send)
        )
        problem = sent.err()
        self._counters.add('orders_sent', outcome=problem or 'taken')
        if problem not in {None, OrderProblem.refused}:
            return
        bound_log = log.bind(order=order.order_id, count=intent.count)
        if problem is None:
            bound_log.info('Upstream order accepted.')
        else:
            bound_log.warning('Upstream order refused.')
            self._refused_at[intent.place] = self._clock.elapsed()
        settled = OrderIntent(
            intent.place, intent.sequence, intent.count, settled=True
        )
        await self._write_intent(row, settled)
