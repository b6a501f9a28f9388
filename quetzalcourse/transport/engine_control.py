"""HTTP client for engine reports and orders."""

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
from quetzalcourse.state.decoding import MalformedMessageError, decode_json
from quetzalcourse.state.engines import OrderProblem
from quetzalcourse.transport.response_body import read_body

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
    """Fetches reports from engines and sends orders to them.

    :param session: shared HTTP session.
    :param sender: incarnation id of this process, for the engines' logs.
    :param timeout_seconds: timeout of a request.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        sender: str,
        timeout_seconds: float,
    ) -> None:
        """Store the session, which the application owns."""
        self._session = session
        self._sender = sender
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def observe(
        self,
        upstream: Upstream,
    ) -> Result[EngineReport, OrderProblem]:
        """Fetch an engine's report of what it runs."""
        result = await self._request('GET', upstream, '/load', LoadReport)
        return result.map(read_report)

    async def order(
        self,
        upstream: Upstream,
        order: EngineOrder,
    ) -> Result[EngineReport, OrderProblem]:
        """Send an order to an engine."""
        body = msgspec.json.encode(build_order(order, self._sender))
        result = await self._request(
            'POST', upstream, '/orders', LoadReport, body
        )
        return result.map(read_report)

    async def list_changes(
        self,
        upstream: Upstream,
        after: int,
    ) -> Result[list[CacheChange], OrderProblem]:
        """List the changes of an engine's prefix cache."""
        path = f'/cache-events?after={after}'
        result = await self._request('GET', upstream, path, list[CacheEvent])
        return result.map(lambda found: [read_change(one) for one in found])

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
            ) as response:
                content = await read_body(response)
        except aiohttp.ClientConnectorError:
            return Err(OrderProblem.not_sent)
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return Err(OrderProblem.unanswered)
        if response.status == HTTP_CONFLICT:
            return Err(OrderProblem.stale_token)
        if response.status != HTTP_OK:
            return Err(OrderProblem.refused)
        # A gateway may respond in an engine's place. Without this check its
        # body would abort the polling round of all other engines.
        try:
            return Ok(decode_json(content, kind))
        except MalformedMessageError:
            return Err(OrderProblem.unanswered)
