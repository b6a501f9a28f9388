"""Clients for orders to servers and for usage reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err

from quetzalcourse.coordination.versions.load_controller import (
    OrderOutcome,
    UpstreamReport,
)
from quetzalcourse.log import get_log
from quetzalcourse.state.decoding import (
    Int64,
    MalformedMessageError,
    decode_json,
)
from quetzalcourse.state.rows import FaultKind
from quetzalcourse.state.scaling import ScalingOutcome
from quetzalcourse.transport.channel import Channel

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.coordination.duties.usage_windows import WindowReport
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.versions.load_controller import LoadOrder
    from quetzalcourse.state.scaling import ScalingOrder

OK = 200
# A server may act on an order that times out; the lease outlasts the timeout.
ORDER_TIMEOUT_SECONDS = 0.6
REPORT_TIMEOUT_SECONDS = 0.6
USAGE_TIMEOUT_SECONDS = 0.6
CALL_HEADERS = {'Content-Type': 'application/json'}
OUTCOMES_BY_STATUS: Mapping[int, OrderOutcome] = {
    OK: OrderOutcome.holds,
    202: OrderOutcome.accepted,
    409: OrderOutcome.conflict,
    412: OrderOutcome.fenced,
}
SCALING_OUTCOMES: Mapping[int, ScalingOutcome] = {
    OK: ScalingOutcome.accepted,
    202: ScalingOutcome.accepted,
    400: ScalingOutcome.refused,
    404: ScalingOutcome.refused,
    409: ScalingOutcome.unavailable,
    429: ScalingOutcome.refused,
    503: ScalingOutcome.refused,
}
log = get_log('duties')


class OrderMessage(msgspec.Struct):
    """Order to a server; ``expected`` is the ``seq`` it must be at."""

    operation: str
    model: str
    version: int
    mode: str
    holder: str
    fence_token: int
    expected: int


class ModelMessage(msgspec.Struct):
    """Weight version of one model on a server."""

    name: str
    version: Int64


class ReportMessage(msgspec.Struct):
    """State of a server; ``seq`` counts its accepted orders."""

    models: list[ModelMessage] = []
    busy: bool = False
    seq: Int64 = 0


class UsageMessage(msgspec.Struct):
    """Usage counts of one window."""

    window: int
    counts: dict[str, int]


class ScaleMessage(msgspec.Struct):
    """Number of servers of a service that a zone is to have."""

    service: str
    zone: str
    desired_count: int


class ServerControl:
    """Sends orders to servers and reads their state."""

    def __init__(self) -> None:
        """Start without connections."""
        self._channels: dict[str, Channel] = {}

    async def order(self, upstream: Upstream, order: LoadOrder) -> OrderOutcome:
        """Order a server to load a weight version."""
        message = OrderMessage(
            operation='version',
            model=order.load.model,
            version=order.load.version,
            mode='carry_over' if order.carry_over else 'wait',
            holder=order.holder,
            fence_token=order.token,
            expected=order.sequence,
        )
        answer = await self._get_channel(upstream).request(
            'POST',
            '/quetzalcourse/order',
            msgspec.json.encode(message),
            headers=_build_instance_headers(upstream) | CALL_HEADERS,
            seconds=ORDER_TIMEOUT_SECONDS,
        )
        if isinstance(answer, Err):
            if answer.err_value.kind is FaultKind.not_applied:
                return OrderOutcome.not_sent
            return OrderOutcome.unanswered
        return OUTCOMES_BY_STATUS.get(
            answer.ok_value.status, OrderOutcome.refused
        )

    async def report(self, upstream: Upstream) -> UpstreamReport | None:
        """Query the state of a server."""
        answer = await self._get_channel(upstream).request(
            'GET',
            '/quetzalcourse/report',
            headers=_build_instance_headers(upstream),
            seconds=REPORT_TIMEOUT_SECONDS,
        )
        if isinstance(answer, Err) or answer.ok_value.status != OK:
            return None
        try:
            message = decode_json(answer.ok_value.content, ReportMessage)
        except MalformedMessageError:
            log.warning('Server report is malformed.', upstream=upstream.name)
            return None
        versions = {model.name: model.version for model in message.models}
        return UpstreamReport(versions, message.seq, message.busy)

    async def close(self) -> None:
        """Close every connection."""
        for channel in self._channels.values():
            await channel.close()

    def _get_channel(self, upstream: Upstream) -> Channel:
        address = upstream.member.address
        if address not in self._channels:
            self._channels[address] = Channel(address)
        return self._channels[address]


class UsageReportClient:
    """Reports usage to the platform.

    :param holder: name of this machine, sent with the fencing token.
    """

    def __init__(self, channel: Channel, holder: str) -> None:
        """Store the connections."""
        self._channel = channel
        self._holder = holder

    async def send(self, report: WindowReport, token: int) -> bool:
        """Send the usage report of a window.

        :returns: whether the platform accepted it.
        """
        message = UsageMessage(report.number, report.counts)
        answer = await self._channel.request(
            'POST',
            '/usage',
            msgspec.json.encode(message),
            headers=CALL_HEADERS | _build_fence_headers(self._holder, token),
            seconds=USAGE_TIMEOUT_SECONDS,
        )
        return answer.is_ok() and answer.unwrap().status == OK


class ScalingOrderClient:
    """Orders servers from the platform.

    :param holder: name of this machine, sent with the fencing token.
    """

    def __init__(self, channel: Channel, holder: str) -> None:
        """Store the connections."""
        self._channel = channel
        self._holder = holder

    async def send(self, order: ScalingOrder) -> ScalingOutcome:
        """Send an order; repeating it has no further effect."""
        message = ScaleMessage(
            order.place.service, order.place.data_centre, order.count
        )
        answer = await self._channel.request(
            'POST',
            '/scale',
            msgspec.json.encode(message),
            headers=CALL_HEADERS
            | _build_fence_headers(self._holder, order.token),
            seconds=ORDER_TIMEOUT_SECONDS,
        )
        if isinstance(answer, Err):
            if answer.err_value.kind is FaultKind.not_applied:
                return ScalingOutcome.refused
            return ScalingOutcome.unanswered
        return SCALING_OUTCOMES.get(
            answer.ok_value.status, ScalingOutcome.unanswered
        )


def _build_instance_headers(upstream: Upstream) -> dict[str, str]:
    return {'X-Expect-Instance': upstream.name}


def _build_fence_headers(holder: str, token: int) -> dict[str, str]:
    return {'X-Duty-Holder': holder, 'X-Fence-Token': str(token)}
