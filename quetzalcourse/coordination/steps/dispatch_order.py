"""Order of dispatch: samples that should take longest begin first."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from quetzalcourse.state.steps import SampleKey

MAX_TRACKED_PROMPTS = 8192
SMOOTHING_FACTOR = 0.3
UNKNOWN_PROMPT_FACTOR = 1.5


class LengthEstimator:
    """Lengths of samples, learnt for each trainer and prompt.

    Bounded: the prompts that were seen least lately are forgotten.
    """

    def __init__(self) -> None:
        """Begin without a length."""
        self._by_prompt: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._by_trainer: dict[str, float] = {}

    def observe(self, trainer: str, prompt: str, tokens: int) -> None:
        """Learn from a finished sample.

        :param prompt: hash of the prompt.
        :param tokens: length of the sample.
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
        """Tell how many tokens a sample should have.

        A prompt that was never seen counts as longer than most, so that it
        begins early and its length is known while others still wait.
        """
        average = self._by_prompt.get((trainer, prompt))
        if average is not None:
            return average
        return self._by_trainer.get(trainer, 0) * UNKNOWN_PROMPT_FACTOR


class Backlog:
    """Samples of a step that were not begun.

    :param trainer: whose lengths to expect.
    :param prompts: hash of the prompt of each group.
    """

    def __init__(
        self,
        lengths: LengthEstimator,
        trainer: str,
        prompts: tuple[str, ...],
    ) -> None:
        """Begin empty."""
        self._lengths = lengths
        self._trainer = trainer
        self._prompts = prompts
        self._groups: dict[int, list[int]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Count the samples."""
        return self._count

    def add(self, keys: Iterable[SampleKey]) -> None:
        """Put samples in."""
        for key in keys:
            indices = self._groups.setdefault(key.group, [])
            indices.append(key.index)
            indices.sort(reverse=True)
            self._count += 1

    def pop(self) -> SampleKey:
        """Take out the sample that should take longest.

        Groups of equal expectation take turns, so that each group's length
        is learnt early.
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
