"""In-memory index of all batches, built from the table feed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


from quetzalcourse.coordination.batches.batch_rows import (
    END,
    HEAD,
    OWNER,
    PROGRESS,
)
from quetzalcourse.log import get_log
from quetzalcourse.state.batches import BatchHead, Ownership
from quetzalcourse.state.decoding import MalformedMessageError, decode_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.feeds.follower import TableFollower
    from quetzalcourse.state.rows import Row

log = get_log('batches')


@dataclass(slots=True)
class BatchView:
    """State of a batch, as its metadata rows tell it.

    :param committed: number of results in the store.
    """

    id: str
    head: BatchHead | None = None
    head_version: int = 0
    owner: Ownership | None = None
    owner_version: int = 0
    committed: int = 0
    ended: bool = False

    @property
    def accepted(self) -> bool:
        """Whether the batch exists, and not a refusal in its place."""
        return self.head is not None and not self.head.refused

    @property
    def open(self) -> bool:
        """Whether results are still missing."""
        if self.head is None or self.head.refused or self.ended:
            return False
        return self.committed < self.head.total

    def may_run(self, owner_version: int) -> bool:
        """Tell whether the owner of a version may run it.

        It may not once the batch has ended or has another owner.
        """
        return not self.ended and self.owner_version <= owner_version


class BatchDirectory:
    """Keeps every batch up to date with the rows that changed."""

    def __init__(self, follower: TableFollower) -> None:
        """Subscribe to the table feed."""
        self.batches: dict[str, BatchView] = {}
        self._follower = follower
        self._listeners: list[Callable[[BatchView], None]] = []
        follower.on_rows(self.on_rows)

    def on_change(self, listener: Callable[[BatchView], None]) -> None:
        """Call a listener with each batch that changed."""
        self._listeners.append(listener)

    def find(self, batch: str) -> BatchView | None:
        """Find an accepted batch."""
        view = self.batches.get(batch)
        return view if view is not None and view.accepted else None

    def adopt(self, rows: list[Row]) -> None:
        """Apply rows that were read or written outside the feed."""
        self._follower.apply_rows(rows)

    def on_rows(self, rows: list[Row]) -> None:
        """Apply changed rows and notify the listeners."""
        changed: dict[str, BatchView] = {}
        for row in rows:
            _, batch, name = row.key.split('/', 2)
            if row.removed:
                if name == HEAD:
                    self.batches.pop(batch, None)
                continue
            view = self.batches.setdefault(batch, BatchView(batch))
            try:
                _update(view, name, row)
            except MalformedMessageError:
                log.error('Ignored a malformed batch row.', key=row.key)
                continue
            changed[batch] = view
        for view in changed.values():
            for listener in self._listeners:
                listener(view)


def _update(view: BatchView, name: str, row: Row) -> None:
    if name == HEAD:
        view.head = decode_json(row.content, BatchHead)
        view.head_version = row.version
    elif name == OWNER:
        view.owner = decode_json(row.content, Ownership)
        view.owner_version = row.version
    elif name == PROGRESS:
        listed = decode_json(row.content, int)
        view.committed = max(view.committed, listed)
    elif name == END:
        view.ended = True
