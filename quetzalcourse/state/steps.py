"""Training steps and their samples."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime


@dataclass(frozen=True, slots=True, order=True)
class SampleKey:
    """Place of a sample in its step.

    :param group: index of the prompt.
    :param index: index within the group.
    """

    group: int
    index: int


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step as it was created; its row never changes.

    :param client_account: account that the trainer belongs to.
    :param prompts_name: name of the object that holds the prompts.
    :param groups: how many prompts there are.
    :param samples_per_group: samples to make of each prompt.
    :param weight_version: newest version when the step was created.
    :param staleness_bound: how many versions a sample may lag.
    :param deadline_seconds: time within which the step should be whole.
    :param body_digest: hash of what the trainer asked for.
    :param scored: whether samples are scored before delivery.
    :param scoring_repeatable: whether a scoring call may be sent again.
    """

    trainer: str
    step: int
    client_account: str
    model: str
    prompts_name: str
    groups: int
    samples_per_group: int
    max_tokens: int
    weight_version: int
    staleness_bound: int
    deadline_seconds: float
    body_digest: str
    created: datetime
    scored: bool = False
    scoring_repeatable: bool = True

    @property
    def total(self) -> int:
        """How many samples make the step whole."""
        return self.groups * self.samples_per_group

    def list_keys(self) -> list[SampleKey]:
        """List every sample of the step."""
        return [
            SampleKey(group, index)
            for group in range(self.groups)
            for index in range(self.samples_per_group)
        ]


@dataclass(frozen=True, slots=True)
class VersionRange:
    """Tokens of a sample that one weight version made.

    :param start: offset of the first token.
    :param end: offset behind the last token.
    """

    weight_version: int
    start: int
    end: int


@dataclass(frozen=True, slots=True)
class Sample:
    """A finished sample.

    :param group: index of the prompt.
    :param index: index within the group.
    :param versions: weight versions in the order of the tokens.
    :param score: what the scoring service said, if it was asked.
    """

    group: int
    index: int
    text: str
    token_count: int
    finish_reason: str
    versions: tuple[VersionRange, ...]
    score: float | None = None

    @property
    def key(self) -> SampleKey:
        """Place of the sample in its step."""
        return SampleKey(self.group, self.index)


@dataclass(frozen=True, slots=True)
class StepBatch:
    """Samples that were committed together.

    :param position: place of the batch in the step's log.
    """

    position: int
    samples: tuple[Sample, ...]


@dataclass(frozen=True, slots=True)
class DroppedSample:
    """A committed sample that was too old when it was first read.

    :param position: batch that it was committed in.
    """

    position: int
    group: int
    index: int

    @property
    def key(self) -> SampleKey:
        """Place of the sample in its step."""
        return SampleKey(self.group, self.index)


@dataclass(frozen=True, slots=True)
class DeliveryRecord:
    """What the trainer was given so far.

    :param sealed: positions below it were read, and read the same again.
    :param delivered: samples in them that were not dropped.
    :param whole_at: position whose batch made the step whole.
    :param acknowledged: positions below it are never read again.
    """

    sealed: int = 0
    delivered: int = 0
    dropped: tuple[DroppedSample, ...] = ()
    whole_at: int | None = None
    acknowledged: int = 0
    cancelled: bool = False

    @property
    def closed(self) -> bool:
        """Whether no further sample is wanted."""
        return self.cancelled or self.whole_at is not None

    @property
    def finished(self) -> bool:
        """Whether the trainer has acknowledged the whole step."""
        return self.whole_at is not None and self.acknowledged > self.whole_at


@dataclass(frozen=True, slots=True)
class RunReport:
    """What the daemon that runs a step last said of it.

    :param holder: incarnation of the daemon.
    :param committed: samples in the step's log, less those that were too
        old when they were read.
    :param running: samples whose tokens arrive.
    :param waiting: samples that wait for an engine.
    :param backlog: samples that were not begun.
    :param unscored: finished samples that wait for a score.
    :param uncommitted: finished samples that wait for the store.
    :param held_up: samples by the reason that holds them up.
    """

    holder: str = ''
    committed: int = 0
    running: int = 0
    waiting: int = 0
    backlog: int = 0
    unscored: int = 0
    uncommitted: int = 0
    held_up: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StepProgress:
    """How far a step is.

    :param total: samples that make it whole.
    :param run: the running daemon's report, absent once it is closed.
    """

    trainer: str
    step: int
    total: int
    created: datetime
    delivery: DeliveryRecord
    run: RunReport | None


@dataclass(frozen=True, slots=True)
class DeliveredBatch:
    """A batch as the trainer reads it.

    :param whole: whether the step is whole with this batch.
    """

    position: int
    samples: tuple[Sample, ...]
    whole: bool
