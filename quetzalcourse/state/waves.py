"""Waves of engines that take a new weight version."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class WavePlan:
    """What waves have to keep.

    :param serving_share: share of the slots that go on serving.
    :param loads_per_second: loads that the weight store allows this data
        centre to begin.
    :param swap_timeout: time after which a swap counts as failed.
    """

    serving_share: float = 0.75
    loads_per_second: float = 2.0
    swap_timeout: timedelta = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class EngineView:
    """An engine as it last reported itself.

    :param weight_version: version that its new tokens are made with.
    """

    name: str
    slots: int
    weight_version: int


@dataclass(frozen=True, slots=True)
class Swap:
    """An engine that is told to load a version.

    :param attempt: counts the orders that this engine got for the version.
    :param ordered: time since boot at which it was told.
    """

    engine: str
    version: int
    attempt: int
    ordered: timedelta


@dataclass(frozen=True, slots=True)
class WaveStatus:
    """How far a version is on the engines of a model.

    :param behind: engines that reported themselves without the version.
    :param failed: orders that had to be given again.
    """

    version: int
    behind: int
    failed: int
