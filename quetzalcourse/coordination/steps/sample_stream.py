"""Token stream of a sample, and the specification of the sample."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from quetzalcourse.coordination.steps.staleness import extend_versions
from quetzalcourse.exceptions import QuetzalcourseError
from quetzalcourse.state.steps import (
    Sample,
    SampleKey,
    StepSpec,
    VersionRange,
)

if TYPE_CHECKING:
    import asyncio
    from datetime import timedelta

    from quetzalcourse.state.generation import Chunk


class UndeliverableError(QuetzalcourseError):
    """Raised for tokens that must not be delivered.

    :param reason: label of the reason in metrics.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class SampleSpec:
    """Specification of a sample to generate.

    :param attempt: number of discarded attempts; it changes the seed where
        the text must differ.
    :param deadline: time since boot by which the sample should be finished.
    :param run: distinguishes request ids from those of other runs.
    """

    step_spec: StepSpec
    key: SampleKey
    prompt: str
    attempt: int
    deadline: timedelta
    run: str

    @property
    def name(self) -> str:
        """Name of the sample, unique across all trainers."""
        spec = self.step_spec
        return f'{spec.trainer}/{spec.step}/{self.key.group}/{self.key.index}'


@dataclass(slots=True)
class SampleStream:
    """One generation request of a sample, and what it has received.

    :param tokens: tokens so far, including the inherited ones.
    :param versions: weight versions that generated the tokens.
    :param avoid: names of engines to avoid.
    :param inherited_tokens: number of tokens from an earlier stream.
    :param upstream: name of the engine that sent the last token.
    :param first_token_at: time since boot of the first token of its own.
    :param last_token_at: time since boot of the last token.
    :param problem: label of the reason why the stream can't be used, if any.
    :param failure: unexpected error that ended the stream.
    """

    tokens: list[str]
    versions: tuple[VersionRange, ...]
    avoid: frozenset[str]
    inherited_tokens: int = 0
    upstream: str = ''
    first_token_at: timedelta | None = None
    last_token_at: timedelta | None = None
    finish_reason: str = ''
    problem: str = ''
    failure: Exception | None = None
    retry_after: timedelta | None = None
    task: asyncio.Task[None] | None = None

    def extend(self, chunk: Chunk, now: timedelta) -> None:
        """Append the next chunk.

        :param now: time since boot.
        """
        self.last_token_at = now
        self.first_token_at = self.first_token_at or now
        self.tokens.extend(chunk.tokens)
        self.versions = extend_versions(self.versions, chunk)
        self.upstream = chunk.upstream
        self.finish_reason = chunk.finish_reason

    def fork(self) -> SampleStream:
        """Create a stream that continues elsewhere after the last token."""
        avoid = frozenset((self.upstream,)) if self.upstream else frozenset()
        tokens = list(self.tokens)
        return SampleStream(tokens, self.versions, avoid, len(tokens))


def build_sample(key: SampleKey, stream: SampleStream) -> Sample:
    """Build the sample of a stream that ended normally."""
    return Sample(
        group=key.group,
        index=key.index,
        text=''.join(stream.tokens),
        token_count=len(stream.tokens),
        finish_reason=stream.finish_reason,
        versions=stream.versions,
    )
