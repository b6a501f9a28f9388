"""Orders and usage reports to the platform, held back to the last moment."""

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
from quetzalcourse.state.engines import OrderProblem
from quetzalcourse.state.fleet import FleetCount, FleetPlace
from quetzalcourse.state.rows import FaultKind, StoreFault

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from quetzalcourse.state.fleet import FleetOrder
    from quetzalcourse.state.usage import FrozenReport

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503


class LeaseNotHeldError(Exception):
    """The sender no longer held its lease when the bytes were due."""


class LeaseCheckedBody:
    """Body of a request, given out only while the sender holds its lease.

    The HTTP client connects, which takes time, and then sends the headers.
    Only then does it ask for the body, whose length the headers have told.
    The check and the hand-over of the whole body to the connection happen in
    one step of the loop: a process that was stopped past its term meets the
    check first, and a request without its body is none to the receiver.

    :param may_send: whether the sender holds its lease at this instant.
    """

    def __init__(self, content: bytes, may_send: Callable[[], bool]) -> None:
        """Keep the content back."""
        self.handed_over = False
        self._content = content
        self._may_send = may_send

    @property
    def headers(self) -> dict[str, str]:
        """Headers that tell the length, so that no end marker follows."""
        return {
            'Content-Length': str(len(self._content)),
            'Content-Type': 'application/json',
        }

    async def read(self) -> AsyncIterator[bytes]:
        """Give the content out.

        :raises SendingStoppedError: if the sender does not hold its lease.
        """
        if not self._may_send():
            raise LeaseNotHeldError
        self.handed_over = True
        yield self._content


class OrderClient:
    """Sends orders and reports to the platform.

    :param session: shared connections.
    :param sender: incarnation of this process, for the platform's records.
    :param timeout_seconds: time after which a request counts as unanswered.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        sender: str,
        timeout_seconds: float,
    ) -> None:
        """Keep the session that the application owns."""
        self._session = session
        self._address = address
        self._sender = sender
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def order(
        self,
        order: FleetOrder,
        may_send: Callable[[], bool],
    ) -> Result[None, OrderProblem]:
        """Give an order; the same order id again does no harm."""
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
        """Send a report; the same one again does no harm."""
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
        """List the upstreams that there are."""
        url = f'http://{self._address}/upstreams'
        fault = StoreFault(
            FaultKind.not_applied, 'list upstreams', self._address
        )
        try:
            async with self._session.get(url, timeout=self._timeout) as answer:
                content = await answer.read()
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return Err(fault)
        if answer.status != HTTP_OK:
            return Err(fault)
        found = msgspec.json.decode(content, type=list[UpstreamCount])
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
            ) as answer:
                await answer.read()
        except (aiohttp.ClientError, asyncio.TimeoutError):
            if body.handed_over:
                return Err(OrderProblem.unanswered)
            return Err(OrderProblem.not_sent)
        return read_status(answer.status)


def read_status(status: int) -> Result[None, OrderProblem]:
    """Tell what became of an order from the answer's status."""
    if status == HTTP_OK:
        return Ok(None)
    if status == HTTP_CONFLICT:
        return Err(OrderProblem.stale_token)
    if status == HTTP_UNAVAILABLE:
        return Err(OrderProblem.not_sent)
    return Err(OrderProblem.refused)
