"""Fake engines that replay scripts, for tests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.requests.attempt import AttemptError
from quetzalcourse.state.generation import AttemptState, Chunk

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from quetzalcourse.state.generation import GenerationRequest
    from quetzalcourse.state.manifest import Upstream

PAUSE = timedelta(seconds=10)
ANSWER = ('a', 'b', 'c', 'd')


@dataclass(frozen=True, slots=True)
class ScriptedChunk:
    """Tokens of :data:`ANSWER` that a script sends in one chunk.

    :param first: offset of the first token.
    :param end: offset behind the last token.
    :param request_id: id of another request, for a misdirected chunk.
    """

    first: int
    end: int
    request_id: str = ''
    weight_version: int = 1


Step = ScriptedChunk | AttemptState | str
FULL_ANSWER: tuple[Step, ...] = (ScriptedChunk(0, 2), ScriptedChunk(2, 4))


@dataclass(slots=True)
class FakeEngines:
    """Connections to engines that replay one script per attempt.

    A script is a sequence of chunks. An attempt state ends the attempt with
    that state, and ``stall`` sends nothing until the attempt is cancelled.
    Attempts beyond the scripts send the rest of the answer.

    :param sent: engine, attempt id and resumed tokens of each attempt.
    :param pause: called with :data:`PAUSE` before each chunk, if set.
    """

    scripts: list[tuple[Step, ...]]
    sent: list[tuple[str, str, tuple[str, ...]]] = field(default_factory=list)
    ran: set[str] = field(default_factory=set)
    cancelled: list[str] = field(default_factory=list)
    closed: int = 0
    pause: Callable[[timedelta], None] | None = None

    async def generate(
        self,
        upstream: Upstream,
        request: GenerationRequest,
        tokens: tuple[str, ...],
    ) -> AsyncIterator[Chunk]:
        """Replay the next script."""
        self.sent.append((upstream.name, request.request_id, tokens))
        rest = (ScriptedChunk(len(tokens), len(ANSWER)),)
        script = self.scripts.pop(0) if self.scripts else rest
        try:
            for step in script:
                if isinstance(step, AttemptState):
                    self._end(step, upstream, request)
                self.ran.add(request.request_id)
                if self.pause is not None:
                    self.pause(PAUSE)
                if isinstance(step, ScriptedChunk):
                    yield make_chunk(request.request_id, step)
                else:
                    await asyncio.Event().wait()
        finally:
            self.closed += 1

    async def cancel(self, upstream: Upstream, request_id: str) -> None:
        """Record the cancellation."""
        self.cancelled.append(request_id)

    def _end(
        self,
        state: AttemptState,
        upstream: Upstream,
        request: GenerationRequest,
    ) -> None:
        if state is AttemptState.broken:
            self.ran.add(request.request_id)
        raise AttemptError(state, 'generate', upstream.name)


def make_chunk(request_id: str, piece: ScriptedChunk) -> Chunk:
    """Build the chunk of a script step."""
    return Chunk(
        piece.request_id or request_id,
        piece.first,
        ANSWER[piece.first : piece.end],
        piece.weight_version,
        'stop' if piece.end == len(ANSWER) else '',
    )
