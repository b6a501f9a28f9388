"""Scripted generation on virtual time, with weight versions and failures."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.generation import Chunk, GenerationRequest
from quetzalcourse.state.refusal import Refusal, RefusalCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

CHUNK_TOKENS = 50


@dataclass(slots=True, eq=False)
class ScriptedEngine:
    """Engine that a script changes while it runs.

    :param token_seconds: time per token of one stream.
    :param names_versions: whether chunks carry the weight version.
    :param paused_until: loop time until which no token is generated.
    """

    name: str
    slots: int
    token_seconds: float = 0.02
    weight_version: int = 1
    up: bool = True
    names_versions: bool = True
    paused_until: float = 0.0
    running: int = 0

    @property
    def free(self) -> bool:
        """Whether it is up and has a free slot."""
        return self.up and self.running < self.slots


class ScriptedGeneration:
    """Runs requests on scripted engines; requests wait for a free slot.

    The text of each token names the weight version that generated it, so that
    the versions listed for a sample can be checked against its text.

    :param plan_length: returns the number of tokens of a request's answer.
    """

    def __init__(
        self,
        engines: list[ScriptedEngine],
        plan_length: Callable[[GenerationRequest], int],
        chunk_tokens: int = CHUNK_TOKENS,
    ) -> None:
        """Start with idle engines."""
        self.engines = engines
        self.generated_tokens = 0
        self.refuse_next = 0
        self._plan_length = plan_length
        self._chunk_tokens = chunk_tokens
        self._changed = asyncio.Condition()

    async def run(self, request: GenerationRequest) -> AsyncIterator[Chunk]:
        """Yield the chunks of a request, resuming elsewhere after a crash."""
        offset = len(request.received)
        length = min(request.max_tokens, self._plan_length(request))
        while True:
            engine = await self._acquire(request)
            try:
                while engine.up:
                    chunk = await self._make(engine, request, offset, length)
                    if chunk is None:
                        break
                    offset += len(chunk.tokens)
                    yield chunk
                    if chunk.finish_reason:
                        return
            finally:
                await self._release(engine)
            request = replace(request, avoid=frozenset((engine.name,)))

    async def _make(
        self,
        engine: ScriptedEngine,
        request: GenerationRequest,
        offset: int,
        length: int,
    ) -> Chunk | None:
        count = min(self._chunk_tokens, length - offset)
        await asyncio.sleep(count * engine.token_seconds)
        left = engine.paused_until - asyncio.get_running_loop().time()
        if left > 0:
            await asyncio.sleep(left)
        if not engine.up:
            return None
        self.generated_tokens += count
        version = engine.weight_version
        tokens = tuple(
            f'{request.prompt}.{place}@{version} '
            for place in range(offset, offset + count)
        )
        return Chunk(
            request_id=request.request_id,
            offset=offset,
            tokens=tokens,
            weight_version=version if engine.names_versions else 0,
            finish_reason='stop' if offset + count >= length else '',
            upstream=engine.name,
        )

    async def _acquire(self, request: GenerationRequest) -> ScriptedEngine:
        if self.refuse_next:
            self.refuse_next -= 1
            raise RefusedError(
                Refusal(
                    RefusalCode.upstream_failed,
                    'Refused by script.',
                    not_run=True,
                    retry_after=timedelta(milliseconds=500),
                )
            )
        async with self._changed:
            engine = self._choose(request)
            while engine is None:
                await self._changed.wait()
                engine = self._choose(request)
            engine.running += 1
            return engine

    def _choose(self, request: GenerationRequest) -> ScriptedEngine | None:
        fit = [
            engine
            for engine in self.engines
            if engine.free and engine.weight_version >= request.oldest_version
        ]
        return min(
            fit,
            key=lambda engine: (
                engine.name in request.avoid,
                engine.running / engine.slots,
                engine.name,
            ),
            default=None,
        )

    async def _release(self, engine: ScriptedEngine) -> None:
        engine.running -= 1
        await self.wake()

    async def wake(self) -> None:
        """Wake waiting requests to check the engines again."""
        async with self._changed:
            self._changed.notify_all()
