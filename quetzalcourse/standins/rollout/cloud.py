"""Stand-in for the platform's usage report API."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from quetzalcourse.standins.rollout.server import StandinServer
from quetzalcourse.transport.gateway import send_response

if TYPE_CHECKING:
    from sanic import Request

    from quetzalcourse.state.calls import RequestHead

OK = 200
UNAVAILABLE = 503


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


class CloudStandin:
    """Receives usage reports and stores them."""

    def __init__(self) -> None:
        """Create the server without reports."""
        self.reports: list[UsageCall] = []
        self.down = False
        self.server = StandinServer('cloud', self.serve)

    async def serve(self, request: Request, head: RequestHead) -> None:
        """Receive one report."""
        await request.receive_body()
        if self.down:
            await send_response(request, b'', status=UNAVAILABLE)
            return
        message = json.loads(request.body)
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
