"""One stream of a sample's tokens, and what it is a part of."""

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
    """Tokens that must not be delivered.

    :param reason: why, as it is counted.
    """

    def __init__(self, reason: str) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class SampleSpec:
    """Sample to make.

    :param attempt: how often it was made for nothing; changes the seed
        where its text must differ.
    :param deadline: time since boot by which it should be there.
    :param run: makes request ids different from those of other runs.
    """

    step_spec: StepSpec
    key: SampleKey
    prompt: str
    attempt: int
    deadline: timedelta
    run: str

    @property
    def name(self) -> str:
        """Name the sample among all trainers' samples."""
        spec = self.step_spec
        return f'{spec.trainer}/{spec.step}/{self.key.group}/{self.key.index}'


@dataclass(slots=True)
class SampleStream:
    """One run of the sample's request.

    :param tokens: tokens so far, those handed over included.
    :param versions: weight versions that made them.
    :param avoid: names of engines to keep off.
    :param upstream: name of the engine that the last token came from.
    :param first_token_at: when its own first token came.
    :param last_token_at: when its last token came.
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
        """Take the next chunk.

        :param now: time since boot.
        """
        self.last_token_at = now
        self.first_token_at = self.first_token_at or now
        self.tokens.extend(chunk.tokens)
        self.versions = extend_versions(self.versions, chunk)
        self.upstream = chunk.upstream
        self.finish_reason = chunk.finish_reason

    def fork(self) -> SampleStream:
        """Begin a stream elsewhere behind the last token of this one."""
        avoid = frozenset((self.upstream,)) if self.upstream else frozenset()
        tokens = list(self.tokens)
        return SampleStream(tokens, self.versions, avoid, len(tokens))


def build_sample(key: SampleKey, stream: SampleStream) -> Sample:
    """Make a sample of a stream that ended as it should."""
    return Sample(
        group=key.group,
        index=key.index,
        text=''.join(stream.tokens),
        token_count=len(stream.tokens),
        finish_reason=stream.finish_reason,
        versions=stream.versions,
    )
