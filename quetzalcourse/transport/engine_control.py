"""Reports from engines and orders to them, over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result

from quetzalcourse.protocol.engines import (
    CacheEvent,
    LoadReport,
    build_order,
    read_change,
    read_report,
)
from quetzalcourse.state.engines import OrderProblem

if TYPE_CHECKING:
    from quetzalcourse.state.engines import (
        CacheChange,
        EngineOrder,
        EngineReport,
    )
    from quetzalcourse.state.manifest import Upstream

Message = TypeVar('Message')
HTTP_OK = 200
HTTP_CONFLICT = 409


class EngineControlClient:
    """Talks to engines about themselves.

    :param session: shared connections.
    :param sender: incarnation of this process, for the engines' records.
    :param timeout_seconds: time after which an order counts as unanswered.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        sender: str,
        timeout_seconds: float,
    ) -> None:
        """Keep the session that the application owns."""
        self._session = session
        self._sender = sender
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def observe(
        self,
        upstream: Upstream,
    ) -> Result[EngineReport, OrderProblem]:
        """Ask an engine what it runs."""
        answer = await self._request('GET', upstream, '/load', LoadReport)
        return answer.map(read_report)

    async def order(
        self,
        upstream: Upstream,
        order: EngineOrder,
    ) -> Result[EngineReport, OrderProblem]:
        """Give an order."""
        body = msgspec.json.encode(build_order(order, self._sender))
        answer = await self._request(
            'POST', upstream, '/orders', LoadReport, body
        )
        return answer.map(read_report)

    async def list_changes(
        self,
        upstream: Upstream,
        after: int,
    ) -> Result[list[CacheChange], OrderProblem]:
        """List the changes of an engine's prefix cache."""
        path = f'/cache-events?after={after}'
        answer = await self._request('GET', upstream, path, list[CacheEvent])
        return answer.map(lambda found: [read_change(one) for one in found])

    async def _request(
        self,
        method: str,
        upstream: Upstream,
        path: str,
        kind: type[Message],
        body: bytes = b'',
    ) -> Result[Message, OrderProblem]:
        url = f'http://{upstream.address}{path}'
        try:
            async with self._session.request(
                method, url, data=body, timeout=self._timeout
            ) as answer:
                content = await answer.read()
        except aiohttp.ClientConnectorError:
            return Err(OrderProblem.not_sent)
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return Err(OrderProblem.unanswered)
        if answer.status == HTTP_CONFLICT:
            return Err(OrderProblem.stale_token)
        if answer.status != HTTP_OK:
            return Err(OrderProblem.refused)
        # One engine behind a gateway that answers in its place would else
        # end the round in which all others are asked.
        try:
            return Ok(msgspec.json.decode(content, type=kind))
        except msgspec.DecodeError:
            return Err(OrderProblem.unanswered)
