"""Rolling update of engines to a new weight version, in waves."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class WaveLimits:
    """Limits of a rolling update.

    :param serving_share: share of the slots that must keep serving.
    :param loads_per_second: rate of loads that the weight store allows this
        data centre to start.
    :param swap_timeout: time after which a swap counts as failed.
    """

    serving_share: float = 0.75
    loads_per_second: float = 2.0
    swap_timeout: timedelta = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class EngineView:
    """Last reported state of an engine.

    :param weight_version: weight version that generates its new tokens.
    """

    name: str
    slots: int
    weight_version: int


@dataclass(frozen=True, slots=True)
class Swap:
    """Order to an engine to load a weight version.

    :param attempt: number of orders to this engine for the version.
    :param ordered: time since boot at which it was ordered.
    """

    engine: str
    version: int
    attempt: int
    ordered: timedelta


@dataclass(frozen=True, slots=True)
class WaveStatus:
    """Progress of a weight version on the engines of a model.

    :param behind: engines that have not reported the version.
    :param failed: orders that had to be repeated.
    """

    version: int
    behind: int
    failed: int
