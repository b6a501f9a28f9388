"""Orders and usage reports that the platform stand-in has accepted."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from quetzalcourse.protocol.platform import UpstreamCount

if TYPE_CHECKING:
    from quetzalcourse.protocol.platform import (
        PlatformFaults,
        UpstreamOrder,
        UsageReport,
    )

OK = 200
CONFLICT = 409
REFUSED = 422


@dataclass(slots=True)
class OrderStore:
    """Accepted orders and reports, each id once.

    :param order_token: highest fencing token seen with an order.
    :param report_token: highest fencing token seen with a report.
    """

    orders: dict[str, UpstreamOrder] = field(default_factory=dict)
    reports: dict[str, UsageReport] = field(default_factory=dict)
    counts: dict[tuple[str, str], int] = field(default_factory=dict)
    order_token: int = 0
    report_token: int = 0

    def take_order(self, order: UpstreamOrder, faults: PlatformFaults) -> int:
        """Accept or refuse an order.

        :returns: HTTP status.
        """
        if order.token < self.order_token and not faults.ignore_tokens:
            return CONFLICT
        self.order_token = max(self.order_token, order.token)
        if order.order_id in self.orders:
            return OK
        if time.time() > order.deadline and order.deadline:
            return REFUSED
        if order.kind in faults.unavailable:
            return REFUSED
        self.orders[order.order_id] = order
        self.counts[order.data_centre, order.kind] = order.count
        return OK

    def take_report(self, report: UsageReport, faults: PlatformFaults) -> int:
        """Accept or refuse a report.

        :returns: HTTP status.
        """
        if report.token < self.report_token and not faults.ignore_tokens:
            return CONFLICT
        self.report_token = max(self.report_token, report.token)
        first = self.reports.setdefault(report.report_id, report)
        return OK if first.content == report.content else REFUSED

    def list_counts(self, faults: PlatformFaults) -> list[UpstreamCount]:
        """List the counts of upstreams by data centre and kind."""
        return [
            UpstreamCount(
                data_centre, kind, count, data_centre in faults.reclaimed
            )
            for (data_centre, kind), count in sorted(self.counts.items())
        ]
