"""Runtime state of one item of a batch."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.state.batches import ItemResult, PartialText, ResultState

if TYPE_CHECKING:
    import asyncio

    from quetzalcourse.coordination.forwarding.upstream_slot import UpstreamSlot
    from quetzalcourse.state.batches import BatchItem, StreamEvent

MIN_RETRY_DELAY = timedelta(milliseconds=50)
MAX_RETRY_DELAY = timedelta(milliseconds=800)
MAX_DOUBLINGS = 4
# An item under which upstreams crashed is still owed, but one that crashes
# whatever runs it must leave the upstreams time for all others.
MIN_CRASH_DELAY = timedelta(milliseconds=100)
MAX_CRASH_DELAY = timedelta(seconds=5)
MAX_CRASH_DOUBLINGS = 6


class ItemState(enum.StrEnum):
    """State of an item.

    ``unscored`` is an item with a complete text and no score yet, ``scoring``
    one whose scoring call is in progress; neither takes a slot of the
    upstreams that generate texts.
    """

    waiting = 'waiting'
    running = 'running'
    unscored = 'unscored'
    scoring = 'scoring'
    finished = 'finished'


@dataclass(slots=True)
class ItemRun:
    """An item, and the text that upstreams have generated for it so far.

    :param index: index of the item in its batch.
    :param fingerprint: identical for all requests that repeat this one.
    :param scoring_fingerprint: fingerprint of its scoring call, if any.
    :param retry_at: time since boot before which it is not retried.
    :param failures: attempts that the upstream answered as failed.
    :param scoring_failures: scoring calls that were answered as failed.
    :param failed_calls: consecutive attempts without progress.
    :param crashes: upstreams that crashed under it, or under its scoring call.
    :param versions: weight versions that generated the text, oldest first.
    :param last_event: number of the last event, ``None`` before the first.
    :param saved_event: last event of the text that was last saved.
    :param saved_complete: whether the saved text was complete.
    :param completed: whether it has a result with its complete text.
    :param migration_slot: slot that is reserved for it at another upstream,
        to continue there; ``None`` to stay.
    """

    item: BatchItem
    index: int
    state: ItemState = ItemState.waiting
    retry_at: timedelta = timedelta(0)
    failures: int = 0
    scoring_failures: int = 0
    failed_calls: int = 0
    crashes: int = 0
    texts: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    last_event: int | None = None
    saved_event: int | None = None
    saved_complete: bool = False
    completed: bool = False
    upstream: str = ''
    avoided: str = ''
    started_at: timedelta = timedelta(0)
    migration_slot: UpstreamSlot | None = None
    task: asyncio.Task[None] | None = None
    fingerprint: str = ''
    scoring_fingerprint: str = ''

    @property
    def text_complete(self) -> bool:
        """Whether the text is complete and only the score is missing."""
        return self.state in {ItemState.unscored, ItemState.scoring}

    @property
    def is_untouched(self) -> bool:
        """Whether it waits and has no text yet."""
        return self.state is ItemState.waiting and self.last_event is None

    @property
    def resume_after(self) -> str:
        """Number of the event after which an upstream has to continue."""
        return '' if self.last_event is None else str(self.last_event)

    def is_next(self, event: StreamEvent) -> bool:
        """Tell whether an event directly follows the last one."""
        return self.last_event is None or event.number == self.last_event + 1

    def append(self, event: StreamEvent, version: int) -> None:
        """Append an event to the text.

        :param version: weight version that generated it, 0 if unknown.
        """
        self.last_event = event.number
        self.texts.append(event.text)
        self.failed_calls = 0
        if version and version not in self.versions:
            self.versions.append(version)

    def await_score(self) -> None:
        """Mark the text as complete; only its score is missing."""
        self.state = ItemState.unscored
        self.upstream = ''
        self.avoided = ''
        self.failed_calls = 0
        self.crashes = 0
        self.retry_at = timedelta(0)

    def reset_text(self) -> None:
        """Discard the text, to generate it again."""
        self.texts.clear()
        self.versions.clear()
        self.last_event = None

    def build_partial(self) -> PartialText | None:
        """Build the record that saves the text, ``None`` without a text."""
        if self.last_event is None or self.state is ItemState.finished:
            return None
        self.saved_event = self.last_event
        self.saved_complete = self.text_complete
        return PartialText(
            self.item.id,
            list(self.texts),
            list(self.versions),
            self.last_event,
            self.text_complete,
            self.scoring_failures,
        )

    def restore(self, partial: PartialText) -> None:
        """Continue from a text that an earlier owner saved."""
        if self.state is not ItemState.finished:
            self.texts = list(partial.texts)
            self.versions = list(partial.versions)
            self.last_event = partial.last_event
            self.scoring_failures = partial.scoring_failures
            if partial.whole:
                self.state = ItemState.unscored

    def back_off(self, now: timedelta) -> None:
        """Delay the next attempt, with exponential backoff."""
        doublings = min(self.failed_calls, MAX_DOUBLINGS)
        wait = min(MIN_RETRY_DELAY * 2**doublings, MAX_RETRY_DELAY)
        self.failed_calls += 1
        self.retry_at = now + wait

    def on_crash(self, now: timedelta) -> None:
        """Delay the next attempt after an upstream crashed under the item."""
        doublings = min(self.crashes, MAX_CRASH_DOUBLINGS)
        wait = min(MIN_CRASH_DELAY * 2**doublings, MAX_CRASH_DELAY)
        self.crashes += 1
        self.retry_at = max(self.retry_at, now + wait)

    def build_completed_result(self, score: str = '') -> ItemResult:
        """Build the result of an item with a complete text.

        :param score: answer of its scoring call, if it has one.
        """
        return ItemResult(
            self.item.id,
            ResultState.completed,
            '\n'.join(self.texts),
            list(self.versions),
            score,
        )

    def build_abandoned_result(self) -> ItemResult:
        """Build the result of an item that is abandoned."""
        return ItemResult(self.item.id, ResultState.abandoned)
