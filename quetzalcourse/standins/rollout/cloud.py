"""Stand-in for the platform's API for usage reports and orders."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from quetzalcourse.standins.rollout.server import StandinServer
from quetzalcourse.transport.gateway import send_response

if TYPE_CHECKING:
    from sanic import Request

    from quetzalcourse.state.calls import RequestHead

OK = 200
CONFLICT = 409
UNAVAILABLE = 503
SCALE_PATH = '/scale'


@dataclass(frozen=True, slots=True)
class UsageCall:
    """Usage report as received.

    :param arrived: time of arrival in seconds since the epoch, by the
        real wall clock, whatever calendar a daemon was given.
    """

    holder: str
    token: int
    window: int
    counts: dict[str, int]
    arrived: float = 0


@dataclass(frozen=True, slots=True)
class ScaleCall:
    """Order for servers as received."""

    holder: str
    token: int
    service: str
    zone: str
    desired_count: int


class CloudStandin:
    """Receives usage reports and orders, and stores them.

    ``sold_out`` refuses every order.
    """

    def __init__(self) -> None:
        """Create the server without reports and orders."""
        self.reports: list[UsageCall] = []
        self.orders: list[ScaleCall] = []
        self.sold_out = False
        self.down = False
        self.server = StandinServer('cloud', self.serve)

    async def serve(self, request: Request, head: RequestHead) -> None:
        """Receive one report or order."""
        await request.receive_body()
        if self.down:
            await send_response(request, b'', status=UNAVAILABLE)
            return
        message = json.loads(request.body)
        if head.path == SCALE_PATH:
            await self._receive_order(request, head, message)
            return
        self.reports.append(
            UsageCall(
                head.find('x-duty-holder'),
                int(head.find('x-fence-token')),
                message['window'],
                message['counts'],
                time.time(),
            )
        )
        await send_response(request, b'{}', status=OK)

    async def _receive_order(
        self, request: Request, head: RequestHead, message: dict[str, Any]
    ) -> None:
        self.orders.append(
            ScaleCall(
                head.find('x-duty-holder'),
                int(head.find('x-fence-token')),
                message['service'],
                message['zone'],
                message['desired_count'],
            )
        )
        status = CONFLICT if self.sold_out else OK
        await send_response(request, b'{}', status=status)
