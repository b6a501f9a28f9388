"""One item of a batch on its way to a result."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.state.batches import ItemResult, PartialText, ResultState

if TYPE_CHECKING:
    import asyncio

    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.state.batches import BatchItem, StreamEvent

MIN_RETRY_DELAY = timedelta(milliseconds=50)
MAX_RETRY_DELAY = timedelta(milliseconds=800)
MAX_DOUBLINGS = 4


class ItemState(enum.StrEnum):
    """Where an item stands.

    ``unscored`` is an item whose text is whole and whose score is missing,
    ``scoring`` one whose scoring call is under way; neither takes a slot of
    the upstreams that make texts.
    """

    waiting = 'waiting'
    running = 'running'
    unscored = 'unscored'
    scoring = 'scoring'
    finished = 'finished'


@dataclass(slots=True)
class ItemRun:
    """An item, and the text that upstreams have made of it so far.

    :param index: place in the order in which items are begun.
    :param isolated: whether it runs apart from other suspect requests.
    :param fingerprint: the same for all requests that are repeats of it.
    :param scoring_fingerprint: that of its scoring call, if it has one.
    :param retry_at: time since boot before which it isn't tried again.
    :param failures: attempts that its upstream called failed.
    :param scoring_failures: scoring calls that were answered as failed.
    :param failed_calls: attempts in a row that brought nothing.
    :param versions: weight versions that made the text, oldest first.
    :param last_event: number of the last event, ``None`` before the first.
    :param saved_event: last event of the text that was saved.
    :param saved_complete: whether it was saved as whole.
    :param migration_target: upstream where it is to go on, and where a slot
        is taken for it; ``None`` if it stays.
    """

    item: BatchItem
    index: int
    state: ItemState = ItemState.waiting
    retry_at: timedelta = timedelta(0)
    failures: int = 0
    scoring_failures: int = 0
    failed_calls: int = 0
    texts: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    last_event: int | None = None
    saved_event: int | None = None
    saved_complete: bool = False
    upstream: str = ''
    avoided: str = ''
    started_at: timedelta = timedelta(0)
    migration_target: Upstream | None = None
    task: asyncio.Task[None] | None = None
    isolated: bool = False
    fingerprint: str = ''
    scoring_fingerprint: str = ''

    @property
    def text_complete(self) -> bool:
        """Whether its text is whole and its score is missing."""
        return self.state in {ItemState.unscored, ItemState.scoring}

    @property
    def resume_after(self) -> str:
        """Number of the last event for an upstream to go on behind."""
        return '' if self.last_event is None else str(self.last_event)

    def is_next(self, event: StreamEvent) -> bool:
        """Tell whether an event comes right behind the last one."""
        return self.last_event is None or event.number == self.last_event + 1

    def append(self, event: StreamEvent, version: int) -> None:
        """Take an event.

        :param version: weight version that made it.
        """
        self.last_event = event.number
        self.texts.append(event.text)
        self.failed_calls = 0
        if version and version not in self.versions:
            self.versions.append(version)

    def await_score(self) -> None:
        """Note that the text is whole and wants its score."""
        self.state = ItemState.unscored
        self.upstream = ''
        self.avoided = ''
        self.failed_calls = 0
        self.retry_at = timedelta(0)

    def reset_text(self) -> None:
        """Drop the text, to begin anew."""
        self.texts.clear()
        self.versions.clear()
        self.last_event = None

    def build_partial(self) -> PartialText | None:
        """Give the text so far, ``None`` if there is none."""
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
        """Go on from a text that an earlier owner saved."""
        if self.state is not ItemState.finished:
            self.texts = list(partial.texts)
            self.versions = list(partial.versions)
            self.last_event = partial.last_event
            self.scoring_failures = partial.scoring_failures
            if partial.whole:
                self.state = ItemState.unscored

    def back_off(self, now: timedelta) -> None:
        """Wait before the next attempt, longer with each miss."""
        doublings = min(self.failed_calls, MAX_DOUBLINGS)
        wait = min(MIN_RETRY_DELAY * 2**doublings, MAX_RETRY_DELAY)
        self.failed_calls += 1
        self.retry_at = now + wait

    def build_completed_result(self, score: str = '') -> ItemResult:
        """Give the result of an item whose text is whole.

        :param score: what its scoring call said, if it has one.
        """
        return ItemResult(
            self.item.id,
            ResultState.completed,
            '\n'.join(self.texts),
            list(self.versions),
            score,
        )

    def build_abandoned_result(self) -> ItemResult:
        """Give the result of an item that is given up."""
        return ItemResult(self.item.id, ResultState.abandoned)
