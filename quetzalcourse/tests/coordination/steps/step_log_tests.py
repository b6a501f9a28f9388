"""A paused lease holder commits nothing after its successor."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import pytest

from quetzalcourse.coordination.leases.lease import Lease
from quetzalcourse.coordination.steps.fenced_writer import FencedWriter
from quetzalcourse.coordination.steps.step_lease import StepLease
from quetzalcourse.coordination.steps.step_log import StepLog
from quetzalcourse.coordination.steps.step_rows import (
    StepLeaseLostError,
    build_lease_key,
)
from quetzalcourse.coordination.steps.step_service import STEP_LEASE_TERMS
from quetzalcourse.state.steps import RunReport, Sample, VersionRange
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.step_simulation import TRAINER, build_spec
from quetzalcourse.tests.tables import FakeStore

LEASE_PAUSE = STEP_LEASE_TERMS.term + STEP_LEASE_TERMS.margin
REPORT = RunReport()
SPEC = build_spec()


def make_sample(index: int) -> Sample:
    versions = (VersionRange(1, 0, 1),)
    return Sample(0, index, 'a', 1, 'stop', versions)


class LeaseHolder:
    """A daemon that acquires the lease and writes the log."""

    def __init__(self, store: FakeStore, name: str) -> None:
        self.clock = FakeClock()
        self.lease = Lease(
            store,
            self.clock,
            build_lease_key(TRAINER, 1),
            name,
            STEP_LEASE_TERMS,
        )
        self._store = store

    async def acquire(self) -> StepLog:
        while not await self.lease.acquire_or_renew():
            self.clock.move(LEASE_PAUSE)
        step_lease = StepLease(self._store, self.lease)
        writer = FencedWriter(self._store, step_lease, self.clock)
        log = StepLog(self._store, writer, SPEC)
        (await log.load()).unwrap()
        return log


@pytest.mark.parametrize('fault', ['', 'lost_before', 'lost_after'])
@pytest.mark.parametrize('position', [0, 1])
async def test_paused_holder_commits_nothing(
    fault: str,
    position: int,
) -> None:
    # A daemon is paused past its lease term, another takes over the step,
    # and the first resumes in the middle of a commit. If the commit took
    # effect, the trainer would receive a sample from each of them.
    store = FakeStore()
    old, new = LeaseHolder(store, 'old'), LeaseHolder(store, 'new')
    old_log = await old.acquire()
    for index in range(position):
        await old_log.append((make_sample(index),), REPORT)
    old.clock.move(LEASE_PAUSE)
    new_log = await new.acquire()
    await new_log.append((make_sample(2),), REPORT)
    store.write_faults.append(fault)
    with pytest.raises(StepLeaseLostError):
        await old_log.append((make_sample(2), make_sample(3)), REPORT)
    again = await LeaseHolder(store, 'third').acquire()
    assert sorted(key.index for key in again.committed) == [
        *range(position),
        2,
    ]


async def test_commit_succeeds_after_lost_renewal_answer() -> None:
    # A renewal took effect but its answer was lost, so that the holder
    # requires an outdated row version. Its next commit must recover without
    # giving up the step.
    store = FakeStore()
    holder = LeaseHolder(store, 'holder')
    log = await holder.acquire()
    store.write_faults.append('lost_after')
    await holder.lease.acquire_or_renew()
    append = log.append((make_sample(0),), REPORT)
    task = asyncio.ensure_future(append)
    await holder.clock.advance(timedelta(seconds=3))
    await task
    assert len(log.committed) == 1
