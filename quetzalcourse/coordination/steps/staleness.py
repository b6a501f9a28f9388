"""Staleness: version labels of samples and the oldest version allowed."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from quetzalcourse.state.steps import VersionRange

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.coordination.ports import WeightStore
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.generation import Chunk
    from quetzalcourse.state.rows import StoreFault
    from quetzalcourse.state.steps import Sample, StepSpec

REFRESH_INTERVAL = timedelta(seconds=2)


def find_oldest_allowed_version(spec: StepSpec, newest: int) -> int:
    """Return the oldest version whose tokens a step may still deliver.

    :param newest: newest known version of the step's model.
    """
    return max(1, max(spec.weight_version, newest) - spec.staleness_bound)


def extend_versions(
    ranges: tuple[VersionRange, ...],
    chunk: Chunk,
) -> tuple[VersionRange, ...]:
    """Add the tokens of a chunk to the version ranges of a sample.

    :param ranges: versions of the tokens before the chunk.
    """
    version = chunk.weight_version
    end = chunk.offset + len(chunk.tokens)
    if not chunk.tokens:
        return ranges or (VersionRange(version, end, end),)
    if ranges and ranges[-1].start == ranges[-1].end:
        ranges = ranges[:-1]
    if ranges and ranges[-1].weight_version == version:
        merged = VersionRange(version, ranges[-1].start, end)
        return (*ranges[:-1], merged)
    return (*ranges, VersionRange(version, chunk.offset, end))


def is_labelled(sample: Sample) -> bool:
    """Return whether named versions cover every token of a sample."""
    expected_start = 0
    for version_range in sample.versions:
        if (
            version_range.weight_version < 1
            or version_range.start != expected_start
        ):
            return False
        expected_start = version_range.end
    return bool(sample.versions) and expected_start == sample.token_count


def find_oldest_version(versions: Iterable[VersionRange]) -> int:
    """Return the oldest version of the ranges, zero if there are none."""
    return min(
        (version_range.weight_version for version_range in versions), default=0
    )


def is_deliverable(sample: Sample, oldest_allowed: int) -> bool:
    """Return whether a sample is labelled and recent enough."""
    if not is_labelled(sample):
        return False
    return find_oldest_version(sample.versions) >= oldest_allowed


class NewestVersions:
    """Newest weight version of each model known to this daemon.

    :param store: returns the published versions.
    """

    def __init__(self, store: WeightStore, clock: Clock) -> None:
        """Start without known versions."""
        self._store = store
        self._clock = clock
        self._versions: dict[str, int] = {}
        self._refreshed_at: dict[str, timedelta] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    def get_cached(self, model: str) -> int:
        """Return the newest known version without asking the store."""
        return self._versions.get(model, 0)

    def observe(self, model: str, version: int) -> None:
        """Record a version that an engine or the store reported."""
        if version > self.get_cached(model):
            self._versions[model] = version

    async def fetch(self, model: str) -> Result[int, StoreFault]:
        """Return the newest version, at most :data:`REFRESH_INTERVAL` old.

        The weight store is rate limited, so that a model has one request in
        flight at a time and its answer is reused for the interval.

        :returns: the version, or the fault if no recent answer exists.
        """
        async with self._locks.setdefault(model, asyncio.Lock()):
            now = self._clock.elapsed()
            refreshed_at = self._refreshed_at.get(model)
            if refreshed_at is None or now - refreshed_at >= REFRESH_INTERVAL:
                answer = await self._store.newest(model)
                if isinstance(answer, Err):
                    return answer
                self._refreshed_at[model] = now
                self.observe(model, answer.ok_value)
        return Ok(self.get_cached(model))
