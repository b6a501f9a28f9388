"""Stores the last orders for upstreams, for the next holder of the lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err

from quetzalcourse.coordination.scaling.place_capacity import OrderRecord
from quetzalcourse.log import get_log
from quetzalcourse.state.decoding import MalformedMessageError, decode_json
from quetzalcourse.state.rows import ABSENT, Condition, Transaction, Write
from quetzalcourse.state.scaling import ScalingPlace

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.coordination.leases.lease import Lease
    from quetzalcourse.coordination.ports import Table

# In the part of the lease's fence, so that one transaction covers both.
RECORDS_KEY = 'duties/all/scaling'
log = get_log('scaling')


class PlaceRecord(msgspec.Struct, frozen=True):
    """Last order for a service in a data centre."""

    service: str
    data_centre: str
    base: int
    count: int


class ScalingRecords:
    """Reads and writes the row of the last orders under the lease."""

    def __init__(self, table: Table, lease: Lease) -> None:
        """Start without a version of the row."""
        self._table = table
        self._lease = lease
        self._version = ABSENT

    async def read(self) -> Mapping[ScalingPlace, OrderRecord] | None:
        """Read the last orders, ``None`` if the store does not answer."""
        answer = await self._table.read(RECORDS_KEY)
        if isinstance(answer, Err):
            return None
        row = answer.ok_value
        self._version = row.version if row is not None else ABSENT
        if row is None or not row.content:
            return {}
        try:
            records = decode_json(row.content, list[PlaceRecord])
        except MalformedMessageError:
            log.error('Ignored malformed scaling records.')
            return {}
        return {
            ScalingPlace(one.service, one.data_centre): OrderRecord(
                one.base, one.count
            )
            for one in records
        }

    async def write(self, orders: Mapping[ScalingPlace, OrderRecord]) -> bool:
        """Write the last orders.

        :returns: whether they are stored and this daemon still holds the
            lease.
        """
        records = [
            PlaceRecord(place.service, place.data_centre, one.base, one.count)
            for place, one in sorted(orders.items())
        ]
        answer = await self._table.transact(
            Transaction(
                (
                    self._lease.fence_condition(),
                    Condition(RECORDS_KEY, self._version),
                ),
                (Write(RECORDS_KEY, msgspec.json.encode(records)),),
            )
        )
        if isinstance(answer, Err) or not answer.ok_value.applied:
            # A write whose answer was lost changed the row's version.
            await self.read()
            return False
        self._version = answer.ok_value.version
        return True
