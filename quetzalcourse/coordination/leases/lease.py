"""Leases with fencing tokens, kept in the platform's table."""

from __future__ import annotations

import itertools
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from result import Err

from quetzalcourse.log import get_log
from quetzalcourse.state.decoding import MalformedMessageError, decode_json
from quetzalcourse.state.lease import (
    FenceRecord,
    LeaseRecord,
    LeaseState,
    LeaseStatus,
    LeaseTimings,
)
from quetzalcourse.state.rows import (
    ABSENT,
    Condition,
    FaultKind,
    Row,
    Transaction,
    Write,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.state.clock import Clock

UNKNOWN_VERSION = -1
MAX_RELEASE_ATTEMPTS = 3
UNKNOWN_HOLDER = 'unknown'
_CONTENDER_NUMBERS = itertools.count(1)
log = get_log('lease')


def encode_record(record: LeaseRecord) -> bytes:
    """Encode a record as the content of its row."""
    return msgspec.json.encode(record)


def decode_record(row: Row) -> LeaseRecord:
    """Decode the record of a row.

    A malformed row counts as held by an unknown contender, which never renews
    it, so that the lease can be acquired after its term.
    """
    try:
        return decode_json(row.content, LeaseRecord)
    except MalformedMessageError:
        log.warning('Lease row is malformed.', lease=row.key)
        return LeaseRecord(UNKNOWN_HOLDER, 0, 0)


def is_never_predecessor(_: str) -> bool:
    """Return false: no holder is an earlier run of this contender."""
    return False


def decode_token(fence: Row | None) -> int:
    """Decode the highest token of a fence row, 0 if it is absent."""
    if fence is None:
        return 0
    return decode_json(fence.content, FenceRecord).token


class RowObserver:
    """Measures how long a row stays unchanged, by the observer's own clock.

    A row's version only grows, so two reads of the same version mean that
    nothing was written in between, however far apart they are.
    """

    def __init__(self, clock: Clock) -> None:
        """Create without an observation."""
        self._clock = clock
        self._version = UNKNOWN_VERSION
        self._unchanged_since = clock.elapsed()

    def observe(self, version: int) -> timedelta:
        """Return how long a row has stayed at a version.

        Call this after the answer arrived: the holder sent its renewal before
        the table could show it, so counting from this point can make the wait
        too long, but never too short.

        :param version: version that was just read.
        """
        now = self._clock.elapsed()
        if version != self._version:
            self._version = version
            self._unchanged_since = now
        return now - self._unchanged_since


class Lease:
    """One contender for one lease.

    :param table: stores the lease's rows.
    :param clock: the contender's own clock; clocks need not agree.
    :param key: name of the row.
    :param holder: incarnation of this process.
    :param terms: term and margin.
    :param fence_key: name of the row that holds only the token, for tables that
        require it near the lease's own row.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        key: str,
        holder: str,
        terms: LeaseTimings,
        fence_key: str = '',
    ) -> None:
        """Create without the lease and without an observation."""
        self.key = key
        self.fence_key = fence_key or f'fence/{key}'
        self.token = 0
        self.terms = terms
        self._table = table
        self._clock = clock
        # Without the number, two contenders of one process would mistake each
        # other's row for their own, and both would hold the lease.
        self._name = f'{holder}:{next(_CONTENDER_NUMBERS)}'
        self._row_observer = RowObserver(clock)
        self._claimed_token = 0
        self._highest_token = 0
        self._confirmed_row: Row | None = None
        self._fence_version = UNKNOWN_VERSION
        self._expires_at: timedelta | None = None
        self._observed = LeaseRecord('', 0, 0)
        self._holder_expired = False
        self._store_answered_at = clock.elapsed()
        self._acquired_at = clock.elapsed()
        self.is_predecessor: Callable[[str], bool] = is_never_predecessor

    @property
    def held(self) -> bool:
        """Whether the lease is held at this instant."""
        return (
            self._expires_at is not None
            and self._clock.elapsed() < self._expires_at
        )

    @property
    def held_for(self) -> timedelta:
        """Time since this contender acquired the lease that it holds."""
        if not self.held:
            return timedelta(0)
        return self._clock.elapsed() - self._acquired_at

    @property
    def may_send(self) -> bool:
        """Whether an order may be sent at this instant.

        Sending stops one order timeout before the lease expires, so that a
        receiver that ignores tokens has acted or given up when the next holder
        sends.
        """
        if self._expires_at is None:
            return False
        return (
            self._clock.elapsed() < self._expires_at - self.terms.order_timeout
        )

    @property
    def remaining(self) -> timedelta:
        """Remaining time in which orders may be sent."""
        if self._expires_at is None:
            return timedelta(0)
        last = self._expires_at - self.terms.order_timeout
        return max(timedelta(0), last - self._clock.elapsed())

    def fence_condition(self) -> Condition:
        """Return the condition that fails once another holder took over.

        It names the fence row, which renewals do not change, so that neither a
        renewal in progress nor one whose answer was lost fails a commit.
        """
        return Condition(self.fence_key, self._fence_version)

    def describe(self) -> LeaseStatus:
        """Return the state of the lease, as far as this contender knows."""
        silent = self._clock.elapsed() - self._store_answered_at
        state = LeaseState.other
        if self.held:
            state = LeaseState.held
        elif (
            silent > self.terms.wait
            or self._holder_expired
            or not self._observed.holder
        ):
            state = LeaseState.nobody
        return LeaseStatus(
            lease=self.key,
            state=state,
            holder=self._observed.holder,
            token=self._observed.token,
            silent_seconds=silent.total_seconds(),
        )

    async def acquire_or_renew(self) -> bool:
        """Renew the lease, or acquire it if its holder is gone.

        :returns: whether the lease is held afterwards.
        """
        if self.held and self._confirmed_row is not None:
            return await self._renew(self._confirmed_row)
        answer = await self._table.read(self.key)
        if isinstance(answer, Err):
            return self.held
        row = answer.ok_value
        self._observe(row)
        if row is not None and self._owns(self._observed):
            return await self._renew(row)
        self._expires_at = None
        return await self._try_acquire(row)

    async def release(self) -> None:
        """Release the lease, so that the next holder need not wait.

        Orders in progress must have been answered or have timed out before.
        """
        was_held = self.held
        token = self._claimed_token
        # The claim is cleared first: otherwise the answer to a renewal in
        # progress would restore the lease after its release.
        self._claimed_token = 0
        self._expires_at = None
        self._confirmed_row = None
        self._fence_version = UNKNOWN_VERSION
        for _ in range(MAX_RELEASE_ATTEMPTS):
            if not was_held or await self._try_release(token):
                break

    async def _try_release(self, token: int) -> bool:
        # The row is read first: a renewal whose answer was lost has advanced
        # its version, and a release against the old version would fail.
        answer = await self._table.read(self.key)
        if isinstance(answer, Err):
            return False
        row = answer.ok_value
        if row is None:
            return True
        record = decode_record(row)
        if (record.holder, record.token) != (self._name, token):
            return True
        released = LeaseRecord('', token, 0)
        commit = await self._table.transact(
            Transaction(
                (Condition(self.key, row.version),),
                (Write(self.key, encode_record(released)),),
            )
        )
        return commit.is_ok() and commit.unwrap().applied

    def _observe(self, row: Row | None) -> None:
        self._store_answered_at = self._clock.elapsed()
        self._observed = decode_record(row) if row else LeaseRecord('', 0, 0)
        self._highest_token = max(self._highest_token, self._observed.token)
        unchanged = self._row_observer.observe(row.version if row else ABSENT)
        # The process that ran on this VM before has certainly ended, and its
        # successor need not wait for it.
        is_successor = self.is_predecessor(self._observed.holder)
        self._holder_expired = is_successor or unchanged >= self.terms.wait

    def _owns(self, record: LeaseRecord) -> bool:
        own = (self._name, self._claimed_token)
        return (record.holder, record.token) == own

    async def _try_acquire(self, row: Row | None) -> bool:
        if self._observed.holder and not self._holder_expired:
            return False
        answer = await self._table.read(self.fence_key)
        if isinstance(answer, Err):
            return False
        fence = answer.ok_value
        # A deleted row says nothing about its holder, who still relies on its
        # term; only a lease without a fence row was never held.
        if row is None and fence is not None and not self._holder_expired:
            return False
        self._highest_token = max(self._highest_token, decode_token(fence))
        return await self._write_claim(row, fence)

    async def _write_claim(self, row: Row | None, fence: Row | None) -> bool:
        # The claim is stored before it is sent: if its answer is lost, only the
        # token in the row shows that the lease is this contender's.
        self._claimed_token = self._highest_token + 1
        self._acquired_at = self._clock.elapsed()
        self._fence_version = UNKNOWN_VERSION
        claim = LeaseRecord(self._name, self._claimed_token, 0)
        return await self._write(
            row,
            claim,
            Transaction(
                (
                    _expect_version(self.key, row),
                    _expect_version(self.fence_key, fence),
                ),
                (
                    Write(self.key, encode_record(claim)),
                    Write(
                        self.fence_key,
                        msgspec.json.encode(FenceRecord(self._claimed_token)),
                    ),
                ),
            ),
        )

    async def _renew(self, row: Row) -> bool:
        record = decode_record(row)
        renewed = LeaseRecord(self._name, record.token, record.renewal + 1)
        return await self._write(
            row,
            renewed,
            Transaction(
                (_expect_version(self.key, row),),
                (Write(self.key, encode_record(renewed)),),
            ),
        )

    async def _write(
        self,
        row: Row | None,
        record: LeaseRecord,
        transaction: Transaction,
    ) -> bool:
        # The term counts from before the write was sent: the store may have
        # applied it at once, and a contender may have seen it at once.
        sent_at = self._clock.elapsed()
        answer = await self._table.transact(transaction)
        if record.token != self._claimed_token:
            return False
        if isinstance(answer, Err):
            if answer.err_value.kind is FaultKind.unanswered:
                self._confirmed_row = None
            return self.held
        if not answer.ok_value.applied:
            self._on_conflict(answer.ok_value.conflicts)
            return self.held
        version = answer.ok_value.version
        self._on_written(row, record, version, sent_at + self.terms.term)
        if self._fence_version == UNKNOWN_VERSION:
            await self._read_fence_version()
        return self.held

    def _on_conflict(self, conflicts: tuple[Row, ...]) -> None:
        # A conflict confirms nothing, so it never extends the term; it may be
        # caused by this contender's own write whose answer was lost.
        self._confirmed_row = None
        for row in conflicts:
            if row.key == self.key and row.content:
                if not self._owns(decode_record(row)):
                    self._expires_at = None

    def _on_written(
        self,
        row: Row | None,
        record: LeaseRecord,
        version: int,
        expires_at: timedelta,
    ) -> None:
        self.token = record.token
        self._expires_at = expires_at
        self._observed = record
        self._store_answered_at = self._clock.elapsed()
        # The table chooses the first version of a row; it may continue from the
        # version of a row that was deleted before.
        self._confirmed_row = None
        if row is not None:
            content = encode_record(record)
            self._confirmed_row = Row(
                self.key, content, version or row.version + 1
            )

    async def _read_fence_version(self) -> None:
        answer = await self._table.read(self.fence_key)
        if isinstance(answer, Err) or answer.ok_value is None:
            return
        fence = answer.ok_value
        if decode_token(fence) == self.token:
            self._fence_version = fence.version


def _expect_version(key: str, row: Row | None) -> Condition:
    return Condition(key, row.version if row else ABSENT)
