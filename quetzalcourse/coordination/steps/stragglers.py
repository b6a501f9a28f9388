"""Stragglers: which samples are helped along near the end of a step."""

from __future__ import annotations

import enum
from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.state.steps import SampleKey

SLOW_ENGINE_RATIO = 0.7
STALL_TIMEOUT = timedelta(seconds=5)
MIN_RATE_TOKENS = 8


class MitigationKind(enum.StrEnum):
    """How a sample is helped along.

    ``move`` ends the stream that lags; ``copy`` lets both run, and the
    first to finish wins.
    """

    move = 'move'
    copy = 'copy'


@dataclass(frozen=True, slots=True)
class RunningSample:
    """A sample in the making.

    :param upstream: name of the engine that its only stream comes from.
    :param tokens: tokens that came from there.
    :param generation_time: time in which they came.
    :param idle_time: time since the last one.
    """

    key: SampleKey
    upstream: str
    tokens: int
    generation_time: timedelta
    idle_time: timedelta


@dataclass(frozen=True, slots=True)
class Mitigation:
    """Order to go on with a sample elsewhere, behind its last token."""

    key: SampleKey
    kind: MitigationKind


def plan_mitigations(
    running: Sequence[RunningSample],
    idle_slots: int,
) -> list[Mitigation]:
    """Choose the samples to help, once none is left to begin.

    Stalled samples move whether slots are idle or not. Those on an engine
    that is clearly slower than the fastest get a copy for every idle slot,
    the ones with fewest tokens first as they have the most before them.

    :param running: samples with one stream each.
    :param idle_slots: slots that stood idle when this was asked.
    """
    stalled = [
        Mitigation(sample.key, MitigationKind.move)
        for sample in running
        if sample.idle_time >= STALL_TIMEOUT
    ]
    rates = measure_token_rates(running)
    if not rates:
        return stalled
    threshold = max(rates.values()) * SLOW_ENGINE_RATIO
    slow = [
        sample
        for sample in running
        if sample.idle_time < STALL_TIMEOUT
        and rates.get(sample.upstream, threshold) < threshold
    ]
    slow.sort(key=lambda sample: sample.tokens)
    return stalled + [
        Mitigation(sample.key, MitigationKind.copy)
        for sample in slow[: max(0, idle_slots)]
    ]


def measure_token_rates(running: Sequence[RunningSample]) -> dict[str, float]:
    """Measure the engines' speeds by the samples that run on them.

    :returns: tokens a second of one stream, by the engine's name.
    """
    found: dict[str, list[float]] = defaultdict(list)
    for sample in running:
        seconds = sample.generation_time.total_seconds()
        if sample.tokens >= MIN_RATE_TOKENS and seconds > 0:
            found[sample.upstream].append(sample.tokens / seconds)
    return {upstream: median(rates) for upstream, rates in found.items()}
