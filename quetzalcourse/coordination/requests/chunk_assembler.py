"""Assembly of one answer from the chunks of one or more attempts."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from quetzalcourse.exceptions import QuetzalcourseError

if TYPE_CHECKING:
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.generation import Chunk, GenerationRequest

MAX_CONSECUTIVE_DROPS = 8


class ChunkError(QuetzalcourseError):
    """Stream whose chunks can no longer complete the answer."""


class ChunkAssembler:
    """Assembles an answer, each token offset once and in order.

    :param request: request that the answer belongs to.
    """

    def __init__(self, request: GenerationRequest, counters: Counters) -> None:
        """Create without any tokens of an attempt."""
        self.tokens: list[str] = list(request.received)
        self._request = request
        self._counters = counters
        self._attempt_id = request.request_id
        self._last_chunk: Chunk | None = None
        self._consecutive_drops = 0

    def begin(self, attempt_id: str) -> None:
        """Expect the chunks of a new attempt.

        :param attempt_id: id that the chunks of this attempt carry.
        """
        self._attempt_id = attempt_id
        self._last_chunk = None
        self._consecutive_drops = 0

    def accept(self, chunk: Chunk) -> Chunk | None:
        """Accept the new tokens of a chunk.

        The last chunk is held back until :meth:`finish`: if the stream broke
        before its end marker, the resumed stream would deliver it again.

        :returns: the chunk to pass to the caller now, if any.
        :raises ChunkError: if this stream can no longer complete the answer.
        """
        if chunk.request_id != self._attempt_id or self._last_chunk is not None:
            self._drop('crossed')
            return None
        expected = len(self.tokens)
        end = chunk.offset + len(chunk.tokens)
        if chunk.offset > expected:
            self._count('gap')
            raise ChunkError('tokens are missing from the stream')
        if end < expected or (end == expected and not chunk.finish_reason):
            self._drop('late')
            return None
        self._check_version(chunk)
        return self._append(chunk, expected)

    def finish(self) -> Chunk | None:
        """Return the last chunk, once the end marker has been received.

        :returns: ``None`` if the stream ended without a last chunk.
        """
        last = self._last_chunk
        self._last_chunk = None
        if last is not None:
            self.tokens.extend(last.tokens)
        return last

    def _append(self, chunk: Chunk, expected: int) -> Chunk | None:
        new_chunk = chunk
        id_matches = chunk.request_id == self._request.request_id
        if chunk.offset != expected or not id_matches:
            new_chunk = replace(
                chunk,
                request_id=self._request.request_id,
                offset=expected,
                tokens=chunk.tokens[expected - chunk.offset :],
            )
        self._consecutive_drops = 0
        if new_chunk.finish_reason:
            self._last_chunk = new_chunk
            return None
        self.tokens.extend(new_chunk.tokens)
        return new_chunk

    def _check_version(self, chunk: Chunk) -> None:
        # Weights may be swapped in mid-stream. Tokens of a version other than
        # the requested one would be reported under the wrong version.
        version = chunk.weight_version
        if not version:
            return
        requested_version = self._request.weight_version
        if version < self._request.oldest_version:
            raise ChunkError('the weight version is too old')
        if requested_version not in {None, version}:
            raise ChunkError('the weight version is not the requested one')

    def _drop(self, reason: str) -> None:
        self._count(reason)
        self._consecutive_drops += 1
        if self._consecutive_drops >= MAX_CONSECUTIVE_DROPS:
            raise ChunkError('the stream carries no usable chunks')

    def _count(self, reason: str) -> None:
        self._counters.add('chunks_dropped', reason=reason)
