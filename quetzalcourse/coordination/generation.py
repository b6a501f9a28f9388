"""Generation: one request for tokens from admission to the last token."""

from __future__ import annotations

from contextlib import aclosing
from dataclasses import replace
from typing import TYPE_CHECKING

from quetzalcourse.coordination.admission import (
    Admission,
    Grant,
    SlotRequest,
)
from quetzalcourse.coordination.attempt import AttemptError
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.generation import Chunk, GenerationRequest
from quetzalcourse.state.refusal import Refusal, RefusalCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quetzalcourse.coordination.ports import Engines
    from quetzalcourse.coordination.routing import Router
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

MAX_ATTEMPTS = 4


class Generation:
    """Runs requests for tokens on engines.

    :param admission: hands out slots.
    :param router: ranks the engines.
    :param engines: connections to the engines.
    """

    def __init__(
        self,
        admission: Admission,
        router: Router,
        engines: Engines,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Keep the parts that a request passes through."""
        self._admission = admission
        self._router = router
        self._engines = engines
        self._clock = clock
        self._counters = counters

    async def run(self, request: GenerationRequest) -> AsyncIterator[Chunk]:
        """Yield the tokens of a request, each offset once and in order.

        A stream that breaks goes on behind its last token on the same or
        another engine, since tokens depend on request and offset only.

        :param request: what to run.
        :raises RefusedError: when no engine finishes the request.
        """
        received = list(request.received)
        failed = set(request.avoid)
        for _ in range(MAX_ATTEMPTS):
            grant = await self._acquire(request, frozenset(failed))
            try:
                async for chunk in self._attempt(grant, request, received):
                    yield chunk
            except AttemptError as error:
                failed.add(error.peer)
                self._counters.add('attempts_failed', state=error.state.value)
                continue
            finally:
                self._admission.release(grant)
            return
        raise RefusedError(_refuse_failed(ran=bool(received)))

    async def _acquire(
        self,
        request: GenerationRequest,
        failed: frozenset[str],
    ) -> Grant:
        candidates = self._router.rank_engines(
            request, self._admission.running, failed
        )
        if not candidates and failed:
            candidates = self._router.rank_engines(
                request, self._admission.running
            )
        if not candidates:
            raise RefusedError(_refuse_model(request.model))
        return await self._admission.acquire(
            SlotRequest(
                request.client_account,
                request.traffic_class,
                candidates,
                request.deadline,
            )
        )

    async def _attempt(
        self,
        grant: Grant,
        request: GenerationRequest,
        received: list[str],
    ) -> AsyncIterator[Chunk]:
        chunks = self._engines.generate(
            grant.upstream, request, tuple(received)
        )
        async with aclosing(chunks) as stream:  # type: ignore[type-var]
            async for chunk in stream:
                if not self._belongs(chunk, request, len(received)):
                    continue
                received.extend(chunk.tokens)
                yield replace(chunk, upstream=grant.upstream.name)

    def _belongs(
        self,
        chunk: Chunk,
        request: GenerationRequest,
        expected: int,
    ) -> bool:
        # An engine that answers late or on the wrong stream would put
        # another caller's tokens into this answer; they are dropped.
        if chunk.request_id == request.request_id:
            if chunk.offset == expected:
                return True
        self._counters.add('chunks_dropped')
        return False


def _refuse_failed(*, ran: bool) -> Refusal:
    return Refusal(
        RefusalCode.upstream_failed,
        'No engine could finish the request.',
        not_run=not ran,
        step='generate',
    )


def _refuse_model(model: str) -> Refusal:
    return Refusal(
        RefusalCode.unknown_model,
        f'No engine serves the model {model!r}.',
        not_run=True,
        step='route',
    )
