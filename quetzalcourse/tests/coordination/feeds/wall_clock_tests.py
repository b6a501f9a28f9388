"""Wall clock estimate while the clocks of some VMs jump."""

from __future__ import annotations

from datetime import timedelta

from quetzalcourse.coordination.duties.usage_windows import WindowCounts
from quetzalcourse.coordination.feeds.wall_clock import WallClockEstimate
from quetzalcourse.tests.clocks import FakeClock

STORE_AHEAD = timedelta(seconds=777)
WINDOW = timedelta(seconds=5)
VMS = ('vm-0', 'vm-1', 'vm-2')


class FakeStoreClock:
    """Store's clock; unknown until the store has answered."""

    def __init__(self, clock: FakeClock) -> None:
        """Start without an answer."""
        self.answered = False
        self._clock = clock

    def estimate(self) -> timedelta | None:
        """Estimate the store's time."""
        if not self.answered:
            return None
        return self._clock.elapsed() + STORE_AHEAD


class WallClockWorld:
    """One daemon's estimate, and the offsets that the others reported."""

    def __init__(self) -> None:
        """Start with a store that has answered and three correct clocks."""
        self.clock = FakeClock()
        self.store_clock = FakeStoreClock(self.clock)
        self.wall_clock = WallClockEstimate(self.clock, self.store_clock)
        self.correct_clock = FakeClock()
        self.store_clock.answered = True
        for vm in VMS:
            self.report_offset(vm)

    def report_wrong_offset(self, vm: str, error: timedelta) -> None:
        """Report the offset of a VM whose clock is wrong."""
        self.clock.calendar_error = error
        self.report_offset(vm)
        self.clock.calendar_error = timedelta(0)

    def report_offset(self, vm: str) -> None:
        """Report this machine's current offset as that of a VM."""
        offset = self.wall_clock.find_offset()
        assert offset is not None
        self.wall_clock.on_offset(vm, offset)


def test_clock_that_jumped_is_outvoted() -> None:
    # The wall clock of one VM jumps ahead by half a minute. Its requests would
    # be counted in windows that the others have not started, and its reports
    # would close windows that are still open: accounts are billed too little.
    world = WallClockWorld()
    world.clock.calendar_error = timedelta(seconds=30)
    world.report_offset('vm-0')
    assert world.wall_clock.now() == world.correct_clock.now()


def test_requests_are_counted_in_the_correct_window() -> None:
    # The wall clock jumps back while requests run and forward again later, so
    # the same request would be counted in a window that was already reported.
    world = WallClockWorld()
    counts = WindowCounts(world.wall_clock, WINDOW, lambda: None)
    counts.record('a')
    world.clock.calendar_error = timedelta(seconds=-20)
    counts.record('a')
    world.report_offset('vm-0')
    counts.record('a')
    assert list(counts.describe().values()) == [{'a': 3}]


def test_own_clock_is_used_before_the_store_has_answered() -> None:
    world = WallClockWorld()
    world.store_clock.answered = False
    world.clock.calendar_error = timedelta(seconds=2)
    assert world.wall_clock.find_offset() is None
    assert world.wall_clock.now() == world.clock.now()


def test_majority_of_the_clocks_decides() -> None:
    # All VMs were corrected together: their new offset counts, not the old one.
    world = WallClockWorld()
    world.clock.calendar_error = timedelta(seconds=4)
    for vm in VMS[:2]:
        world.report_offset(vm)
    assert world.wall_clock.now() == world.clock.now()


def test_wrong_clocks_that_disagree_do_not_move_the_time() -> None:
    """Guards against usage in wrong windows when two clocks jump in turn."""
    world = WallClockWorld()
    assert world.wall_clock.now() == world.correct_clock.now()
    world.report_wrong_offset('vm-0', timedelta(seconds=1.5))
    world.report_wrong_offset('vm-1', timedelta(seconds=5))
    assert world.wall_clock.now() == world.correct_clock.now()
