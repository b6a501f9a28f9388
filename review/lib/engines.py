"""Model server whose texts have a given length."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING, Any

from quetzalcourse.standins.rollout.upstream import UpstreamStandin

if TYPE_CHECKING:
    from collections.abc import Callable


class Engine(UpstreamStandin):
    """Streams texts of a given length at a given pace.

    :param count: number of events of a request's answer.
    :param write: data of one event, by request id and number.
    :param pause: seconds before each event.

    ``visits`` has the times at which each request began and ended here,
    ``finished`` how often it was answered whole.
    """

    def __init__(
        self,
        *arguments: Any,
        count: Callable[[str], int],
        write: Callable[[str, int], str],
        pause: float,
        **options: Any,
    ) -> None:
        """Keep the length and the pace."""
        super().__init__(*arguments, **options)
        self.count = count
        self.write = write
        self.pause = pause
        self.finished: dict[str, int] = {}
        self.visits: dict[str, list[list[float]]] = {}

    async def _stream(
        self, request: Any, head: Any, model: str, resumed_after: int
    ) -> None:
        visit = [time.monotonic(), math.inf]
        name = head.find('x-request-id')
        self.visits.setdefault(name, []).append(visit)
        try:
            await self._send_events(request, head, model, resumed_after)
        finally:
            visit[1] = time.monotonic()

    async def _send_events(
        self, request: Any, head: Any, model: str, resumed_after: int
    ) -> None:
        request_id = head.find('x-request-id')
        version = self.state.versions[model]
        headers = self._build_headers(head) | {
            'X-Weight-Versions': str(version)
        }
        answer = await request.respond(
            headers=headers, content_type='text/event-stream'
        )
        for number in range(resumed_after + 1, self.count(request_id) + 1):
            await asyncio.sleep(self.pause)
            text = self.write(request_id, number)
            await answer.send(f'id: {number}\ndata: {text}\n\n')
        await answer.send(b'', end_stream=True)
        self.finished[request_id] = self.finished.get(request_id, 0) + 1
