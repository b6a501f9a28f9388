"""Which daemons live, told by a row that each rewrites in the store."""

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
# Counts of usage that only this daemon has are lost with it, so they are
# told soon, yet not with each request.
CHANGE_BATCH_DELAY = timedelta(milliseconds=250)
# Names in one line of the log; each daemon also tells its own at its start.
MAX_LOGGED_NAMES = 10
# A daemon that has not answered for as long is not asked any more.
MAX_PROBE_TIME = timedelta(seconds=15)
log = get_log('members')


class PresenceRecord(msgspec.Struct, frozen=True):
    """What a daemon's row says.

    :param usage: requests of each account that ran, by window.
    :param calendar_offset: seconds that the VM's wall_clock is ahead of the
        store's clock.
    :param cores: processor time that the VM has.
    :param gap: seconds within which the next heartbeat follows.
    """

    vm: str
    incarnation: str
    data_centre: str
    address: str
    leaving: bool
    beat: int
    usage: dict[str, dict[str, int]] = {}
    calendar_offset: float | None = None
    cores: float = 1
    gap: float = 0


def format_row_key(one: Member | PresenceRecord) -> str:
    """Name the row of a daemon; the next run on its VM writes it too."""
    return f'{TABLE}/{one.data_centre}/{one.vm}'


class Presence:
    """The daemons whose rows change, as this daemon's clock sees it.

    :param own: this daemon.
    :param usage: gives the counts that go with each heartbeat.
    :param restore_usage: takes the counts of the run before on the same VM.
    :param wall_clock: learns how the daemons' calendars differ.
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
        """Begin with nobody known but this daemon."""
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
        self._interval = timedelta(0)
        self._watched: dict[str, timedelta] = {}
        self._watch_interval = timedelta(0)
        self._write_due = asyncio.Event()
        self._write_due.set()
        follower.on_rows(self.on_rows)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever a daemon came, left or began anew."""
        self._listeners.append(listener)

    def set_urgency_check(self, ask: Callable[[], bool]) -> None:
        """Ask before each heartbeat whether this daemon does urgent work."""
        self._is_urgent = ask

    def watch(self, vms: Collection[str], gap: timedelta) -> None:
        """Judge some VMs by rows that are read directly from now on.

        :param gap: time between two reads of such a row.
        """
        now = self._clock.elapsed()
        self._watch_interval = gap
        self._watched = {vm: self._watched.get(vm, now) for vm in vms}

    @property
    def watching(self) -> bool:
        """Whether any VM is judged by rows that are read directly."""
        return bool(self._watched)

    def is_watching(self, vm: str) -> bool:
        """Tell whether a VM is judged by rows that are read directly."""
        return vm in self._watched

    def on_read_failed(self, vm: str) -> None:
        """Learn that the row of a watched VM could not be read."""
        self._watched.update({vm: self._clock.elapsed()})

    def find_row_key(self, vm: str) -> str:
        """Name the row of a VM that is known."""
        return format_row_key(self.records[vm])

    def on_rows(self, rows: list[Row]) -> None:
        """Take rows that changed."""
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

        A leaving one is not listed: it takes nothing over.
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
        """List the other daemons whose rows should have changed by now."""
        now = self._clock.elapsed()
        return [
            _build_member(record)
            for record in self.records.values()
            if record.vm != self.own.vm
            and not record.leaving
            and self._is_overdue(record.vm, now)
        ]

    def on_pong(self, sender: Member) -> None:
        """Learn from a daemon itself that it lives."""
        record = self.records.get(sender.vm)
        if record is not None and record.incarnation == sender.incarnation:
            self._pong_at[sender.vm] = self._clock.elapsed()

    def is_live(self, vm: str, incarnation: str) -> bool:
        """Tell whether one run of a daemon goes on."""
        if vm == self.own.vm:
            return incarnation == self.own.incarnation
        record = self.records.get(vm)
        if record is None or record.incarnation != incarnation:
            return False
        return self._is_recent(vm)

    def is_replaced(self, vm: str, incarnation: str, version: int) -> bool:
        """Tell whether a later run on the same VM has taken a run's place.

        :param version: version of a row that the run wrote; a later run
            begins its own row with a higher one.
        """
        record = self.records.get(vm)
        if record is None or record.incarnation == incarnation:
            return False
        return self._versions[vm] > version

    def find_data_centre(self, owner: Ownership | None) -> str:
        """Tell where an owner stands or stood, empty if it is not known."""
        record = self.records.get(owner.vm) if owner is not None else None
        return record.data_centre if record is not None else ''

    def announce(self) -> None:
        """Tell of a change soon, without waiting for the next heartbeat."""
        self._write_due.set()

    async def leave(self) -> None:
        """Tell that this daemon takes nothing over any more."""
        self.own = replace(self.own, leaving=True)
        await self._write()
        self._notify()

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
        # A heartbeat that leaves urgent work behind still keeps the promise of
        # the one before it.
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
        )
        # The condition keeps out heartbeats of the run before whose answers
        # were lost: applied late, they would show that run as the living one.
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
        """Learn the version of the own row, and what the run before counted.

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
        # While the store is away nobody is heard, which says nothing of
        # the others; they have their time again once it is back.
        last_seen, timeout = self._find_last_seen(vm)
        age = self._clock.elapsed() - last_seen
        return age < timeout or self._follower.healthy_for < timeout

    def _is_overdue(self, vm: str, now: timedelta) -> bool:
        last_seen, timeout = self._find_last_seen(vm)
        return (
            timeout - WRITE_LATENCY_MARGIN <= now - last_seen < MAX_PROBE_TIME
        )

    def _find_last_seen(self, vm: str) -> tuple[timedelta, timedelta]:
        """Find when a daemon was heard, and which silence is its end."""
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
    """Write one line, since a deployment starts hundreds of daemons at once."""
    log.info(
        'Daemons are seen.',
        count=len(changed),
        incarnations=[one.incarnation for one in changed[:MAX_LOGGED_NAMES]],
        leaving=[one.vm for one in changed if one.leaving][:MAX_LOGGED_NAMES],
    )


def _not_urgent() -> bool:
    """Tell that nothing stands still without this daemon."""
    return False


def _decode_record(row: Row) -> PresenceRecord | None:
    if row.removed:
        return None
    try:
        return msgspec.json.decode(row.content, type=PresenceRecord)
    except msgspec.DecodeError:
        log.warning('Row of a daemon is malformed.', key=row.key)
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
