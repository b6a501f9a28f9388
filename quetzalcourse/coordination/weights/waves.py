"""Wave planning: which engines load a new weight version, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.state.waves import EngineView, Swap, WaveLimits

if TYPE_CHECKING:
    from collections.abc import Sequence
    from datetime import timedelta


class Wave:
    """Deployment of one version to the engines of one model.

    An engine has swapped only once it reports the version. An engine that
    was ordered to and has not reported counts as out of service until the
    swap times out. Other engines then go before it.

    :param plan: limits on lost capacity and on the rate of loads.
    """

    def __init__(self, version: int, plan: WaveLimits) -> None:
        """Start with no swap ordered."""
        self.version = version
        self.failed = 0
        self.behind = 0
        self._plan = plan
        self._swaps: dict[str, Swap] = {}
        self._load_allowance = 1.0
        self._refilled_at: timedelta | None = None

    def choose_swaps(
        self,
        now: timedelta,
        engines: Sequence[EngineView],
    ) -> list[Swap]:
        """Choose the engines that are ordered to swap now.

        :param now: time since boot.
        :param engines: engines with a recent report.
        """
        self._refill(now)
        behind = [
            engine for engine in engines if engine.weight_version < self.version
        ]
        loading = [engine for engine in behind if self._is_loading(engine, now)]
        pending = [engine for engine in behind if engine not in loading]
        pending.sort(key=self._rank)
        slots_out = sum(engine.slots for engine in loading)
        spare_slots = self._count_spare_slots(engines)
        chosen: list[Swap] = []
        for engine in pending:
            # With two engines the serving share leaves no spare slots for
            # either. One at a time still has to load, or the version would
            # never be deployed.
            fits = slots_out + engine.slots <= spare_slots or slots_out == 0
            if not fits or self._load_allowance < 1:
                break
            self._load_allowance -= 1
            slots_out += engine.slots
            chosen.append(self._start_swap(engine, now))
        return chosen

    def mark_timed_out(self, swap: Swap) -> None:
        """Time out a swap that was not accepted, so that others go first."""
        if self._swaps.get(swap.engine) == swap:
            timeout = self._plan.swap_timeout
            self._swaps[swap.engine] = Swap(
                swap.engine, swap.version, swap.attempt, swap.ordered - timeout
            )

    def count_behind(self, engines: Sequence[EngineView]) -> int:
        """Count the engines that don't report the version yet."""
        return sum(engine.weight_version < self.version for engine in engines)

    def _start_swap(self, engine: EngineView, now: timedelta) -> Swap:
        previous = self._swaps.get(engine.name)
        attempt = previous.attempt + 1 if previous else 1
        if previous is not None:
            self.failed += 1
        swap = Swap(engine.name, self.version, attempt, now)
        self._swaps[engine.name] = swap
        return swap

    def _is_loading(self, engine: EngineView, now: timedelta) -> bool:
        swap = self._swaps.get(engine.name)
        if swap is None:
            return False
        return now - swap.ordered < self._plan.swap_timeout

    def _rank(self, engine: EngineView) -> tuple[int, str]:
        swap = self._swaps.get(engine.name)
        return swap.attempt if swap else 0, engine.name

    def _count_spare_slots(self, engines: Sequence[EngineView]) -> float:
        slots = sum(engine.slots for engine in engines)
        return slots * (1 - self._plan.serving_share)

    def _refill(self, now: timedelta) -> None:
        rate = self._plan.loads_per_second
        if self._refilled_at is not None:
            elapsed = (now - self._refilled_at).total_seconds()
            self._load_allowance = min(
                max(1.0, rate), self._load_allowance + elapsed * rate
            )
        self._refilled_at = now
