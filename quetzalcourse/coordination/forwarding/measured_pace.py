"""Decides which services are ranked by the time that work takes there.

Under uneven upstreams, the load alone sends as much to those that take twice as
long. A service is ranked by time once one of its upstreams reports how long
work takes there; the others keep the ranking by load.
"""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from quetzalcourse.coordination.forwarding.pace import UpstreamPace
from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from datetime import timedelta

    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.state.counters import Counters

log = get_log('pace')


class MeasuredPace:
    """Services whose upstreams report how long work takes there.

    :param enabled: whether reports are used at all.
    """

    def __init__(self, *, enabled: bool) -> None:
        """Start without services."""
        self._enabled = enabled
        self._services: set[str] = set()

    def is_known(self, service: str) -> bool:
        """Tell whether the upstreams of a service are ranked by time."""
        return service in self._services

    def on_registration(self, upstream: Upstream) -> None:
        """Apply the service of an upstream that registered."""
        if not self.is_known(upstream.member.service):
            upstream.pace = None
        elif upstream.pace is None:
            upstream.pace = UpstreamPace()

    def on_report(
        self,
        upstream: Upstream,
        slowdown: float,
        peers: Collection[Upstream],
        now: timedelta,
    ) -> None:
        """Record a reported slowdown.

        :param peers: upstreams of the same service.
        """
        service = upstream.member.service
        if not self._enabled:
            return
        if service not in self._services:
            self._services.add(service)
            log.info('Service is ranked by time.', service=service)
            for peer in peers:
                self.on_registration(peer)
        if upstream.pace is not None:
            upstream.pace.on_report(slowdown, now)

    def on_response(
        self, upstream: Upstream, took: timedelta, now: timedelta
    ) -> None:
        """Record the time until the response to a forwarded request."""
        if upstream.pace is not None:
            upstream.pace.on_response(took, now)

    def report_metrics(
        self,
        list_service: Callable[[str], Collection[Upstream]],
        now: timedelta,
        counters: Counters,
    ) -> None:
        """Update the gauges of the services that are ranked by time."""
        for service in self._services:
            known = [
                one.pace
                for one in list_service(service)
                if one.pace is not None
            ]
            for name, readings in (
                ('token_latency', [one.token_latency for one in known]),
                ('response_time', [one.response_time for one in known]),
                ('slowdown', [one.estimate_slowdown(now) for one in known]),
            ):
                _set_gauges(f'upstream_{name}', service, readings, counters)


def _set_gauges(
    name: str, service: str, readings: Collection[float], counters: Counters
) -> None:
    measured = [reading for reading in readings if reading]
    if measured:
        counters.set(name, median(measured), service=service, of='median')
        counters.set(name, max(measured), service=service, of='slowest')
