"""Dispatch order: samples that are expected to take longest go first."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from quetzalcourse.state.steps import SampleKey

MAX_TRACKED_PROMPTS = 8192
SMOOTHING_FACTOR = 0.3
UNKNOWN_PROMPT_FACTOR = 1.5


class LengthEstimator:
    """Estimates the lengths of samples by trainer and prompt.

    Keeps a moving average of the finished samples. The number of prompts is
    bounded; the least recently seen ones are evicted.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._by_prompt: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._by_trainer: dict[str, float] = {}

    def observe(self, trainer: str, prompt: str, tokens: int) -> None:
        """Update the averages with a finished sample.

        :param prompt: hash of the prompt.
        :param tokens: length of the sample in tokens.
        """
        key = (trainer, prompt)
        self._by_prompt[key] = _update_average(self._by_prompt.get(key), tokens)
        self._by_prompt.move_to_end(key)
        if len(self._by_prompt) > MAX_TRACKED_PROMPTS:
            self._by_prompt.popitem(last=False)
        self._by_trainer[trainer] = _update_average(
            self._by_trainer.get(trainer), tokens
        )

    def estimate(self, trainer: str, prompt: str) -> float:
        """Estimate the length of a sample in tokens.

        A prompt that was never seen is estimated longer than most, so that
        it starts early and its length is known while others still wait.

        :param prompt: hash of the prompt.
        """
        average = self._by_prompt.get((trainer, prompt))
        if average is not None:
            return average
        return self._by_trainer.get(trainer, 0) * UNKNOWN_PROMPT_FACTOR


class Backlog:
    """Samples of a step that have not started.

    :param lengths: estimates that determine the order.
    :param trainer: trainer whose estimates apply.
    :param prompts: hash of the prompt of each group.
    """

    def __init__(
        self,
        lengths: LengthEstimator,
        trainer: str,
        prompts: tuple[str, ...],
    ) -> None:
        """Start empty."""
        self._lengths = lengths
        self._trainer = trainer
        self._prompts = prompts
        self._groups: dict[int, list[int]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of samples."""
        return self._count

    def add(self, keys: Iterable[SampleKey]) -> None:
        """Add samples."""
        for key in keys:
            indices = self._groups.setdefault(key.group, [])
            indices.append(key.index)
            indices.sort(reverse=True)
            self._count += 1

    def pop(self) -> SampleKey:
        """Remove and return the sample that is expected to take longest.

        Groups with equal estimates alternate, so that the length of each
        group is learnt early.
        """
        group = max(self._groups, key=self._rank)
        indices = self._groups[group]
        index = indices.pop()
        if not indices:
            self._groups.pop(group)
        self._count -= 1
        return SampleKey(group, index)

    def _rank(self, group: int) -> tuple[float, int, int]:
        expected = self._lengths.estimate(self._trainer, self._prompts[group])
        return expected, -self._groups[group][-1], -group


def _update_average(average: float | None, tokens: int) -> float:
    if average is None:
        return float(tokens)
    return average + (tokens - average) * SMOOTHING_FACTOR
