"""Waves: which engines load a new weight version, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.state.waves import EngineView, Swap, WaveLimits

if TYPE_CHECKING:
    from collections.abc import Sequence
    from datetime import timedelta


class Wave:
    """The way of one version onto the engines of one model.

    An engine has swapped only when it reports the version. One that was
    told and has not is out of service for all the planner knows, until it
    timed out; then others go before it.

    :param plan: what has to be kept.
    """

    def __init__(self, version: int, plan: WaveLimits) -> None:
        """Begin with no engine told."""
        self.version = version
        self.failed = 0
        self.behind = 0
        self._plan = plan
        self._swaps: dict[str, Swap] = {}
        self._allowance = 1.0
        self._refilled: timedelta | None = None

    def choose(
        self,
        now: timedelta,
        engines: Sequence[EngineView],
    ) -> list[Swap]:
        """Choose the engines to tell now.

        :param now: time since boot.
        :param engines: engines that reported themselves lately.
        """
        self._refill(now)
        behind = [
            engine for engine in engines if engine.weight_version < self.version
        ]
        loading = [engine for engine in behind if self._is_loading(engine, now)]
        waiting = [engine for engine in behind if engine not in loading]
        waiting.sort(key=self._rank)
        out = sum(engine.slots for engine in loading)
        spare = self._find_spare(engines)
        chosen: list[Swap] = []
        for engine in waiting:
            # Two servers of today leave nothing to spare for either; one at
            # a time still has to load, or the version would never arrive.
            fits = out + engine.slots <= spare or out == 0
            if not fits or self._allowance < 1:
                break
            self._allowance -= 1
            out += engine.slots
            chosen.append(self._tell(engine, now))
        return chosen

    def give_up(self, swap: Swap) -> None:
        """Note that an order was not taken, so that others go first."""
        if self._swaps.get(swap.engine) == swap:
            timeout = self._plan.swap_timeout
            self._swaps[swap.engine] = Swap(
                swap.engine, swap.version, swap.attempt, swap.ordered - timeout
            )

    def count_behind(self, engines: Sequence[EngineView]) -> int:
        """Count the engines that do not report the version yet."""
        return sum(engine.weight_version < self.version for engine in engines)

    def _tell(self, engine: EngineView, now: timedelta) -> Swap:
        before = self._swaps.get(engine.name)
        attempt = before.attempt + 1 if before else 1
        if before is not None:
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

    def _find_spare(self, engines: Sequence[EngineView]) -> float:
        slots = sum(engine.slots for engine in engines)
        return slots * (1 - self._plan.serving_share)

    def _refill(self, now: timedelta) -> None:
        rate = self._plan.loads_per_second
        if self._refilled is not None:
            passed = (now - self._refilled).total_seconds()
            self._allowance = min(
                max(1.0, rate), self._allowance + passed * rate
            )
        self._refilled = now
