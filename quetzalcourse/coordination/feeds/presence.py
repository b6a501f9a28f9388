"""Liveness of daemons, by a heartbeat row that each rewrites in the store."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from result import Err

from quetzalcourse.coordination.feeds.heartbeats import (
    choose_heartbeat_interval,
    WRITE_LATENCY_MARGIN,
    find_liveness_timeout,
)
from quetzalcourse.coordination.tasks import wait_event
from quetzalcourse.log import get_log
from quetzalcourse.state.decoding import (
    Int64,
    MalformedMessageError,
    Seconds,
    decode_json,
)
from quetzalcourse.state.members import Member
from quetzalcourse.state.rows import ABSENT, Condition, Transaction, Write

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from quetzalcourse.coordination.feeds.wall_clock import WallClockEstimate
    from quetzalcourse.coordination.feeds.follower import TableFollower
    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.state.batches import Ownership
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.rows import Row

    UsageCounts = dict[str, dict[str, int]]

TABLE = 'members'
# Unwritten usage counts are lost if the daemon dies, so changes are written
# soon, but in batches rather than once per request.
CHANGE_BATCH_DELAY = timedelta(milliseconds=250)
# Names per log line; each daemon logs its own name at its start.
MAX_LOGGED_NAMES = 10
# Time since its last sign of life after which a daemon is no longer probed.
MAX_PROBE_TIME = timedelta(seconds=15)
# A write of the cancelled task may be applied just before the first attempt,
# which then fails on its condition.
MAX_FLUSH_ATTEMPTS = 2
log = get_log('members')


class PresenceRecord(msgspec.Struct, frozen=True):
    """Content of a daemon's heartbeat row.

    :param beat: number of the heartbeat in this run.
    :param usage: requests that ran, by window and account.
    :param calendar_offset: seconds that the VM's wall clock is ahead of the
        store's clock.
    :param cores: processor time that the VM has, in cores.
    :param gap: seconds within which the next heartbeat follows.
    :param counted_window: usage window in progress when the counts were taken,
        so that earlier ones are final; 0 if the daemon did not know it yet.
    """

    vm: str
    incarnation: str
    data_centre: str
    address: str
    leaving: bool
    beat: int
    usage: dict[str, dict[str, Int64]] = {}
    calendar_offset: Seconds | None = None
    cores: float = 1
    gap: Seconds = 0
    counted_window: int | None = None


def format_row_key(member: Member | PresenceRecord) -> str:
    """Format the key of a daemon's row; later runs on the same VM share it."""
    return f'{TABLE}/{member.data_centre}/{member.vm}'


class Presence:
    """Live daemons by their heartbeat rows, timed with the local clock.

    :param own: this daemon.
    :param usage: returns the usage counts to write with each heartbeat.
    :param restore_usage: takes the counts of the previous run on the same VM.
    :param wall_clock: receives the clock offsets that the daemons report.
    """

    def __init__(
        self,
        own: Member,
        table: Table,
        follower: TableFollower,
        clock: Clock,
        usage: Callable[[], UsageCounts],
        restore_usage: Callable[[UsageCounts], None],
        wall_clock: WallClockEstimate,
    ) -> None:
        """Start with this daemon as the only known one."""
        self.own = own
        self.records: dict[str, PresenceRecord] = {}
        self._table = table
        self._follower = follower
        self._clock = clock
        self._usage = usage
        self._restore_usage = restore_usage
        self._wall_clock = wall_clock
        self._own_row_read = False
        self._row_version: int | None = None
        self._row_seen_at: dict[str, timedelta] = {}
        self._pong_at: dict[str, timedelta] = {}
        self._versions: dict[str, int] = {}
        self._listeners: list[Callable[[], None]] = []
        self._heartbeats_sent = 0
        self._is_urgent: Callable[[], bool] = _not_urgent
        self._find_counted_window: Callable[[], int] = _unknown_window
        self._interval = timedelta(0)
        self._watched: dict[str, timedelta] = {}
        self._watch_interval = timedelta(0)
        self._write_due = asyncio.Event()
        self._write_due.set()
        follower.on_rows(self.on_rows)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener for daemons that join, leave or restart."""
        self._listeners.append(listener)

    def set_urgency_check(self, ask: Callable[[], bool]) -> None:
        """Set the check, made before each heartbeat, for urgent work here."""
        self._is_urgent = ask

    def set_window_source(self, find: Callable[[], int]) -> None:
        """Set what returns the usage window in progress for each heartbeat."""
        self._find_counted_window = find

    @property
    def read_began_at(self) -> timedelta | None:
        """Monotonic time up to which all written rows are known."""
        return self._follower.read_began_at

    def watch(self, vms: Collection[str], read_interval: timedelta) -> None:
        """Judge the given VMs by rows that the caller reads directly.

        Replaces the VMs of the previous call.

        :param read_interval: time between two reads of such a row.
        """
        now = self._clock.elapsed()
        self._watch_interval = read_interval
        self._watched = {vm: self._watched.get(vm, now) for vm in vms}

    @property
    def watching(self) -> bool:
        """Whether any VM is judged by directly read rows."""
        return bool(self._watched)

    def is_watching(self, vm: str) -> bool:
        """Return whether a VM is judged by directly read rows."""
        return vm in self._watched

    def on_read_failed(self, vm: str) -> None:
        """Restart the timeout of a watched VM whose row could not be read."""
        self._watched.update({vm: self._clock.elapsed()})

    def find_row_key(self, vm: str) -> str:
        """Format the key of a known VM's row."""
        return format_row_key(self.records[vm])

    def on_rows(self, rows: list[Row]) -> None:
        """Apply changed heartbeat rows and notify listeners."""
        changed: list[PresenceRecord] = []
        for row in rows:
            record = _decode_record(row)
            if record is None:
                continue
            known = self.records.get(record.vm)
            self.records[record.vm] = record
            self._row_seen_at[record.vm] = self._clock.elapsed()
            self._versions[record.vm] = row.version
            self._update_offset(record)
            if known is None or _has_state_changed(known, record):
                changed.append(record)
        if changed:
            _log_changes(changed)
            self._notify()

    def list_live(self, data_centre: str = '') -> list[Member]:
        """List the live daemons, this one included, sorted by incarnation.

        Daemons that are leaving are left out, since they take over no work.

        :param data_centre: only those there, or all if empty.
        """
        live = [] if self.own.leaving else [self.own]
        for record in self.records.values():
            other = record.vm != self.own.vm
            if other and not record.leaving and self._is_recent(record.vm):
                live.append(_build_member(record))
        return sorted(
            (
                member
                for member in live
                if data_centre in ('', member.data_centre)
            ),
            key=lambda member: member.incarnation,
        )

    def list_overdue(self) -> list[Member]:
        """List the other daemons whose heartbeat is overdue, to probe them."""
        now = self._clock.elapsed()
        return [
            _build_member(record)
            for record in self.records.values()
            if record.vm != self.own.vm
            and not record.leaving
            and self._is_overdue(record.vm, now)
        ]

    def on_pong(self, sender: Member) -> None:
        """Record that a daemon answered a liveness probe."""
        record = self.records.get(sender.vm)
        if record is not None and record.incarnation == sender.incarnation:
            self._pong_at[sender.vm] = self._clock.elapsed()

    def is_live(self, vm: str, incarnation: str) -> bool:
        """Return whether a given run of a daemon is alive.

        Before the table has been read, every unknown daemon counts as live.
        """
        if vm == self.own.vm:
            return incarnation == self.own.incarnation
        record = self.records.get(vm)
        if record is None:
            return not self._follower.loaded
        if record.incarnation != incarnation:
            return False
        return self._is_recent(vm)

    def is_replaced(self, vm: str, incarnation: str, version: int) -> bool:
        """Return whether a later run on the same VM has replaced a run.

        :param version: version of a row that the run wrote; the row of a later
            run starts with a higher one.
        """
        record = self.records.get(vm)
        if record is None or record.incarnation == incarnation:
            return False
        return self._versions[vm] > version

    def find_data_centre(self, owner: Ownership | None) -> str:
        """Find the data centre of an owner, empty if it is not known."""
        record = self.records.get(owner.vm) if owner is not None else None
        return record.data_centre if record is not None else ''

    def announce(self) -> None:
        """Write the row soon instead of at the next heartbeat."""
        self._write_due.set()

    async def leave(self) -> None:
        """Write that this daemon is leaving and takes over no more work."""
        self.own = replace(self.own, leaving=True)
        await self._write()
        self._notify()

    async def flush(self) -> None:
        """Write the latest state, after :meth:`run` was cancelled."""
        for _ in range(MAX_FLUSH_ATTEMPTS):
            if not self._write_due.is_set() and self._row_version is not None:
                break
            await self._write()

    async def run(self) -> None:
        """Write heartbeats until the task is cancelled."""
        while True:
            await wait_event(self._write_due, self._interval)
            await self._clock.sleep(CHANGE_BATCH_DELAY)
            await self._write()

    async def _write(self) -> None:
        if self._row_version is None and not await self._read_own():
            self._write_due.set()
            return
        self._heartbeats_sent += 1
        self._write_due.clear()
        # If urgent work has just ended, this heartbeat still arrives within the
        # shorter interval that the previous one stated.
        self._interval = choose_heartbeat_interval(
            len(self.records), urgent=self._is_urgent()
        )
        record = PresenceRecord(
            self.own.vm,
            self.own.incarnation,
            self.own.data_centre,
            self.own.address,
            self.own.leaving,
            self._heartbeats_sent,
            self._usage(),
            self._find_offset(),
            self.own.cores,
            self._interval.total_seconds(),
            self._find_counted_window(),
        )
        # The condition rejects delayed writes of the previous run whose answers
        # were lost; applied late, they would show that run as alive.
        key = format_row_key(self.own)
        answer = await self._table.transact(
            Transaction(
                (Condition(key, self._row_version or ABSENT),),
                (Write(key, msgspec.json.encode(record)),),
            )
        )
        self._row_version = None
        if isinstance(answer, Err) or not answer.ok_value.applied:
            self._write_due.set()
        elif answer.ok_value.version:
            self._row_version = answer.ok_value.version

    async def _read_own(self) -> bool:
        """Read the own row's version and, once, the counts of the previous run.

        :returns: whether the store answered.
        """
        answer = await self._table.read(format_row_key(self.own))
        if isinstance(answer, Err):
            return False
        row = answer.ok_value
        self._row_version = row.version if row is not None else ABSENT
        record = _decode_record(row) if row is not None else None
        if record is not None and not self._own_row_read:
            if record.incarnation != self.own.incarnation:
                self._restore_usage(record.usage)
        self._own_row_read = True
        return True

    def _find_offset(self) -> float | None:
        offset = self._wall_clock.find_offset()
        return None if offset is None else round(offset.total_seconds(), 3)

    def _update_offset(self, record: PresenceRecord) -> None:
        if record.calendar_offset is not None:
            offset = timedelta(seconds=record.calendar_offset)
            self._wall_clock.on_offset(record.vm, offset)

    def _is_recent(self, vm: str) -> bool:
        # While the store is unavailable no heartbeat arrives, which says
        # nothing about the others; their timeouts restart once it answers.
        last_seen, timeout = self._find_last_seen(vm)
        age = self._clock.elapsed() - last_seen
        return age < timeout or self._follower.healthy_for < timeout

    def _is_overdue(self, vm: str, now: timedelta) -> bool:
        last_seen, timeout = self._find_last_seen(vm)
        return (
            timeout - WRITE_LATENCY_MARGIN <= now - last_seen < MAX_PROBE_TIME
        )

    def _find_last_seen(self, vm: str) -> tuple[timedelta, timedelta]:
        """Find a daemon's last sign of life and its liveness timeout."""
        pong_at = self._pong_at.get(vm, timedelta(0))
        last_seen = max(self._row_seen_at.get(vm, timedelta(0)), pong_at)
        read_interval = self._follower.pause
        watched_since = self._watched.get(vm)
        if watched_since is not None:
            last_seen = max(last_seen, watched_since)
            read_interval = self._watch_interval
        return last_seen, find_liveness_timeout(
            self._find_interval(vm), read_interval
        )

    def _find_interval(self, vm: str) -> timedelta:
        record = self.records.get(vm)
        if record is None or not record.gap:
            return choose_heartbeat_interval(len(self.records), urgent=False)
        return timedelta(seconds=record.gap)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _log_changes(changed: list[PresenceRecord]) -> None:
    """Log all changes in one line: a rollout starts hundreds of daemons."""
    log.info(
        'Member states changed.',
        count=len(changed),
        incarnations=[
            record.incarnation for record in changed[:MAX_LOGGED_NAMES]
        ],
        leaving=[record.vm for record in changed if record.leaving][
            :MAX_LOGGED_NAMES
        ],
    )


def _not_urgent() -> bool:
    """Return that no urgent work runs here, until a check is set."""
    return False


def _unknown_window() -> int:
    """Return that no window is known, until the source of windows is set."""
    return 0


def _decode_record(row: Row) -> PresenceRecord | None:
    if row.removed:
        return None
    try:
        return decode_json(row.content, PresenceRecord)
    except MalformedMessageError:
        log.warning('Ignored a malformed member row.', key=row.key)
        return None


def _has_state_changed(known: PresenceRecord, record: PresenceRecord) -> bool:
    before = (known.incarnation, known.leaving)
    return before != (record.incarnation, record.leaving)


def _build_member(record: PresenceRecord) -> Member:
    return Member(
        record.vm,
        record.incarnation,
        record.data_centre,
        record.address,
        record.leaving,
        record.cores,
    )
