"""Keeps a local copy of one of the store's tables up to date."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from quetzalcourse.log import get_log
from quetzalcourse.state.rows import Row, StoreFault

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.feeds.ports import ChangeFeed
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

    RowListener = Callable[[list[Row]], None]

# A stalled channel has to be noticed within the two seconds in which a new
# manifest must be in force.
FOLLOW_WAIT = timedelta(seconds=1)
# A healthy store answers each long poll within FOLLOW_WAIT; one that has not
# answered after this time counts as unavailable.
ANSWER_TIMEOUT = timedelta(seconds=1.3)
RETRY_DELAY = timedelta(milliseconds=150)
# Three failed answers in a row; single failures are routine.
PERSISTENT_FAULT_TIME = timedelta(milliseconds=500)
UNKNOWN_VERSION = -1
log = get_log('feed')


class TableFollower:
    """Follows the changes of one table and passes them to listeners.

    A row only ever moves to a higher version. An answer older than the local
    copy, as from a store whose reads are stale, changes nothing.

    :param table: name of the table.
    :param single_part: whether all rows are in the part with the empty name.
    :param wait: how long the store holds a long poll for changes.
    :param pause: time between two polls, for tables that change all the time;
        changes in between arrive together.
    :ivar rows: the local copy, by key.
    :ivar loaded: whether the table has been read completely.
    :ivar read_began_at: monotonic time at which the latest successful read of
        the changes began; the copy has every row written before.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        table: str,
        clock: Clock,
        counters: Counters,
        *,
        single_part: bool = False,
        pause: timedelta = timedelta(0),
        wait: timedelta = FOLLOW_WAIT,
    ) -> None:
        """Start with an empty copy."""
        self.table = table
        self.rows: dict[str, Row] = {}
        self.loaded = False
        self.read_began_at: timedelta | None = None
        self.pause = pause
        self._feed = feed
        self._clock = clock
        self._counters = counters
        self._single_part = single_part
        self._wait = wait
        self._version = UNKNOWN_VERSION
        self._listeners: list[RowListener] = []
        self._answered_at = clock.elapsed()
        self._failing = False
        self._failing_since = timedelta(0)
        self._recovered_at = timedelta(0)

    @property
    def store_unavailable(self) -> bool:
        """Whether the last poll failed or its answer is overdue."""
        return self._failing or self.answer_overdue

    @property
    def answer_overdue(self) -> bool:
        """Whether the store's next answer is later than any long poll takes."""
        return self.time_since_answer > ANSWER_TIMEOUT

    @property
    def persistently_unavailable(self) -> bool:
        """Whether the store has been unavailable beyond a single fault."""
        failing_for = self._clock.elapsed() - self._failing_since
        return self.answer_overdue or (
            self._failing and failing_for > PERSISTENT_FAULT_TIME
        )

    @property
    def newest_version(self) -> int:
        """Version of the newest row in the copy."""
        versions = (row.version for row in self.rows.values())
        return max(versions, default=0)

    @property
    def time_since_answer(self) -> timedelta:
        """Time since the store's last answer."""
        return self._clock.elapsed() - self._answered_at

    @property
    def healthy_for(self) -> timedelta:
        """Time for which the store has answered without a fault."""
        if self._failing:
            return timedelta(0)
        return self._clock.elapsed() - self._recovered_at

    def on_rows(self, listener: RowListener) -> None:
        """Register a listener for changed rows, which get them in order."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Poll for changes until the task is cancelled."""
        while True:
            fault = await self._poll()
            if fault is None:
                self._on_answer()
                await self._clock.sleep(self.pause)
            else:
                self._on_fault(fault)
                await self._clock.sleep(RETRY_DELAY)

    def apply_rows(self, rows: list[Row]) -> None:
        """Apply rows that are newer than the copy, whatever their source."""
        newer = [row for row in rows if self._is_newer(row)]
        for row in newer:
            self.rows[row.key] = row
        if newer:
            for listener in self._listeners:
                self._notify(listener, newer)
        for row in newer:
            if row.removed:
                self.rows.pop(row.key, None)

    def _notify(self, listener: RowListener, rows: list[Row]) -> None:
        """Pass rows to a listener, without those that it fails on.

        Other processes write to the tables too. A row that no reader expects
        must not end the feed of all other rows.
        """
        try:
            listener(rows)
        except Exception as error:
            if len(rows) > 1:
                for row in rows:
                    self._notify(listener, [row])
                return
            self._counters.add('rows_rejected', table=self.table)
            log.error(
                'Ignored a row that could not be applied.',
                key=rows[0].key,
                kind=type(error).__name__,
                reason=str(error),
            )

    def _is_newer(self, row: Row) -> bool:
        known = self.rows.get(row.key)
        return known is None or known.version < row.version

    async def _poll(self) -> StoreFault | None:
        began = self._clock.elapsed()
        fault = await self._read_changes()
        if fault is None and self._version != UNKNOWN_VERSION:
            self.read_began_at = began
        return fault

    async def _read_changes(self) -> StoreFault | None:
        if self._version == UNKNOWN_VERSION:
            return await self._load()
        answer = await self._feed.follow(self.table, self._version, self._wait)
        if isinstance(answer, Err):
            if answer.err_value.history_lost:
                log.warning(
                    'Change history truncated; reloading the table.',
                    table=self.table,
                )
                self._version = UNKNOWN_VERSION
                return None
            return answer.err_value
        changes = answer.ok_value
        self._version = max(self._version, changes.version)
        self.apply_rows(list(changes.rows))
        return None

    async def _load(self) -> StoreFault | None:
        found = await self._read_all()
        if isinstance(found, Err):
            return found.err_value
        rows, version = found.ok_value
        present = {row.key for row in rows}
        deleted = [
            Row(key, b'', version, removed=True)
            for key in self.rows
            if key not in present
        ]
        self._version = version
        self.apply_rows([*rows, *deleted])
        self.loaded = True
        return None

    async def _read_all(self) -> Result[tuple[list[Row], int], StoreFault]:
        parts = ['']
        if not self._single_part:
            listed = await self._feed.list_parts(self.table)
            if isinstance(listed, Err):
                return listed
            parts = listed.ok_value or ['']
        rows: list[Row] = []
        versions = []
        for part in parts:
            answer = await self._feed.read_part(self.table, part)
            if isinstance(answer, Err):
                return answer
            rows.extend(answer.ok_value.rows)
            versions.append(answer.ok_value.version)
        # The parts were read one after the other: only the oldest of their
        # versions is safe to follow from without missing a change.
        return Ok((rows, min(versions)))

    def _on_answer(self) -> None:
        self._answered_at = self._clock.elapsed()
        if self._failing:
            self._failing = False
            self._recovered_at = self._answered_at
            log.info('Store answers again.', table=self.table)

    def _on_fault(self, fault: StoreFault) -> None:
        self._counters.add('store_feed_faults', table=self.table)
        if not self._failing:
            self._failing = True
            self._failing_since = self._clock.elapsed()
            log.warning(
                'Store does not answer.',
                table=self.table,
                kind=fault.kind.value,
                step=fault.step,
                peer=fault.peer,
            )
