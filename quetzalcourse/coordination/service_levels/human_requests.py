"""Service-level events of requests from human callers."""

from __future__ import annotations

from contextlib import aclosing, contextmanager
from typing import TYPE_CHECKING

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.refusal import RefusalCode
from quetzalcourse.state.service_levels import Indicator

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from quetzalcourse.coordination.service_levels.service_levels import (
        ServiceLevelTracker,
    )
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.generation import Chunk

CALLER_ERROR_CODES = frozenset(
    (
        RefusalCode.unauthenticated,
        RefusalCode.key_withdrawn,
        RefusalCode.forbidden,
        RefusalCode.invalid_body,
        RefusalCode.body_too_large,
        RefusalCode.unknown_model,
        RefusalCode.unknown_service,
        RefusalCode.not_found,
        RefusalCode.conflict,
        RefusalCode.rate_limited,
        RefusalCode.cancelled,
        RefusalCode.already_ran,
        RefusalCode.body_timeout,
    )
)


class HumanRequestTracker:
    """Tracks the latency and outcome of requests from human callers.

    :param levels: counts the events.
    """

    def __init__(self, levels: ServiceLevelTracker, clock: Clock) -> None:
        """Keep the tracker that counts the events."""
        self._levels = levels
        self._clock = clock

    async def track_stream(
        self,
        client_account: str,
        chunks: AsyncIterator[Chunk],
    ) -> AsyncIterator[Chunk]:
        """Pass on the chunks of a request and count its latency and outcome.

        The latency is the time to the first chunk.

        :param client_account: account of the request.
        :param chunks: the answer.
        """
        began = self._clock.elapsed()
        awaiting_first_chunk = True
        with self.track(client_account):
            # If the request stayed open, its engine would continue for a caller
            # that has disconnected.
            async with aclosing(chunks) as request:  # type: ignore[type-var]
                async for chunk in request:
                    if awaiting_first_chunk:
                        awaiting_first_chunk = False
                        self._levels.observe(
                            Indicator.human_latency,
                            client_account,
                            self._clock.elapsed() - began,
                        )
                    yield chunk

    @contextmanager
    def track(self, client_account: str) -> Iterator[None]:
        """Count whether a request succeeded.

        A refusal caused by the caller is not counted, since no change to the
        service would have served the request; neither is a request that its
        caller cancelled.
        """
        try:
            yield
        except RefusedError as error:
            if error.refusal.code not in CALLER_ERROR_CODES:
                self._record(client_account, good=False)
            raise
        self._record(client_account, good=True)

    def _record(self, client_account: str, *, good: bool) -> None:
        self._levels.record(Indicator.human_success, client_account, good=good)
