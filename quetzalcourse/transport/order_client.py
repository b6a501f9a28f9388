"""HTTP client for orders and usage reports, sent only under a lease."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from result import Err, Ok, Result

from quetzalcourse.protocol.platform import (
    UpstreamCount,
    UpstreamOrder,
    UsageReport,
)
from quetzalcourse.state.decoding import MalformedMessageError, decode_json
from quetzalcourse.state.engines import OrderProblem
from quetzalcourse.state.fleet import FleetCount, FleetPlace
from quetzalcourse.state.rows import FaultKind, StoreFault
from quetzalcourse.transport.response_body import read_body

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from quetzalcourse.state.fleet import FleetOrder
    from quetzalcourse.state.usage import FrozenReport

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503


class LeaseNotHeldError(Exception):
    """The sender does not hold its lease when the body is to be sent."""


class LeaseCheckedBody:
    """Request body that is released only while the sender holds its lease.

    The HTTP client connects, which takes time, and sends the headers, which
    declare the length of the body. Only then does it read the body. The lease
    check and the hand-over of the whole body to the connection happen in one
    step of the event loop: a process that was paused past the end of its
    lease runs the check first, and the receiver ignores a request whose body
    is missing.

    :param may_send: checks whether the sender holds its lease now.
    """

    def __init__(self, content: bytes, may_send: Callable[[], bool]) -> None:
        """Store the content; nothing is handed over yet."""
        self.handed_over = False
        self._content = content
        self._may_send = may_send

    @property
    def headers(self) -> dict[str, str]:
        """Headers with the length, so that the body is not sent chunked."""
        return {
            'Content-Length': str(len(self._content)),
            'Content-Type': 'application/json',
        }

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the content in one chunk.

        :raises LeaseNotHeldError: if the sender does not hold its lease.
        """
        if not self._may_send():
            raise LeaseNotHeldError
        self.handed_over = True
        yield self._content


class OrderClient:
    """Sends orders and reports to the platform.

    :param session: shared HTTP session.
    :param address: IP address and port of the platform.
    :param sender: incarnation id of this process, for the platform's logs.
    :param timeout_seconds: timeout of a request.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        sender: str,
        timeout_seconds: float,
    ) -> None:
        """Store the session, which the application owns."""
        self._session = session
        self._address = address
        self._sender = sender
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def order(
        self,
        order: FleetOrder,
        may_send: Callable[[], bool],
    ) -> Result[None, OrderProblem]:
        """Send an order; repeating the same order id is harmless."""
        message = UpstreamOrder(
            order.order_id,
            order.token,
            self._sender,
            order.place.data_centre,
            order.place.kind,
            order.count,
            order.deadline,
            order.notice_seconds,
        )
        content = msgspec.json.encode(message)
        return await self._post('/upstream-orders', content, may_send)

    async def report(
        self,
        report: FrozenReport,
        may_send: Callable[[], bool],
    ) -> Result[None, OrderProblem]:
        """Send a usage report; repeating it is harmless."""
        message = UsageReport(
            report.window,
            report.token,
            self._sender,
            report.window,
            report.content,
        )
        content = msgspec.json.encode(message)
        return await self._post('/usage-reports', content, may_send)

    async def list_counts(self) -> Result[list[FleetCount], StoreFault]:
        """List the number of upstreams per data centre and kind."""
        url = f'http://{self._address}/upstreams'
        fault = StoreFault(
            FaultKind.not_applied, 'list upstreams', self._address
        )
        try:
            async with self._session.get(
                url, timeout=self._timeout
            ) as response:
                content = await read_body(response)
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return Err(fault)
        if response.status != HTTP_OK:
            return Err(fault)
        try:
            found = decode_json(content, list[UpstreamCount])
        except MalformedMessageError:
            return Err(fault)
        return Ok(
            [
                FleetCount(
                    FleetPlace(one.data_centre, one.kind),
                    one.count,
                    one.reclaimed,
                )
                for one in found
            ]
        )

    async def _post(
        self,
        path: str,
        content: bytes,
        may_send: Callable[[], bool],
    ) -> Result[None, OrderProblem]:
        body = LeaseCheckedBody(content, may_send)
        url = f'http://{self._address}{path}'
        try:
            async with self._session.post(
                url,
                data=body.read(),
                headers=body.headers,
                timeout=self._timeout,
            ) as response:
                await read_body(response)
        except (aiohttp.ClientError, asyncio.TimeoutError):
            if body.handed_over:
                return Err(OrderProblem.unanswered)
            return Err(OrderProblem.not_sent)
        return read_status(response.status)


def read_status(status: int) -> Result[None, OrderProblem]:
    """Map the response status to the outcome of an order."""
    if status == HTTP_OK:
        return Ok(None)
    if status == HTTP_CONFLICT:
        return Err(OrderProblem.stale_token)
    if status == HTTP_UNAVAILABLE:
        return Err(OrderProblem.not_sent)
    return Err(OrderProblem.refused)
