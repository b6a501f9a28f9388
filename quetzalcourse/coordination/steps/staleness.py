"""Staleness: which samples name their versions and are new enough."""

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
    """Tell the oldest version whose tokens a step may still deliver.

    :param newest: newest version that is known of the step's model.
    """
    return max(1, max(spec.weight_version, newest) - spec.staleness_bound)


def extend_versions(
    ranges: tuple[VersionRange, ...],
    chunk: Chunk,
) -> tuple[VersionRange, ...]:
    """Add a chunk's tokens to the list of versions that made a sample.

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
    """Tell whether named versions cover every token of a sample."""
    expected = 0
    for version_range in sample.versions:
        if version_range.weight_version < 1 or version_range.start != expected:
            return False
        expected = version_range.end
    return bool(sample.versions) and expected == sample.token_count


def find_oldest_version(versions: Iterable[VersionRange]) -> int:
    """Tell the oldest version among ranges, zero if there are none."""
    return min(
        (version_range.weight_version for version_range in versions), default=0
    )


def is_deliverable(sample: Sample, oldest_allowed: int) -> bool:
    """Tell whether a sample is labelled and new enough."""
    if not is_labelled(sample):
        return False
    return find_oldest_version(sample.versions) >= oldest_allowed


class NewestVersions:
    """Newest weight version of each model, as far as this daemon knows.

    :param store: tells what was published.
    """

    def __init__(self, store: WeightStore, clock: Clock) -> None:
        """Begin without knowledge."""
        self._store = store
        self._clock = clock
        self._versions: dict[str, int] = {}
        self._refreshed_at: dict[str, timedelta] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    def get_cached(self, model: str) -> int:
        """Tell the newest version heard of, without asking."""
        return self._versions.get(model, 0)

    def observe(self, model: str, version: int) -> None:
        """Take note of a version that somebody named."""
        if version > self.get_cached(model):
            self._versions[model] = version

    async def fetch(self, model: str) -> Result[int, StoreFault]:
        """Tell the newest version as it was at most :data:`REFRESH` ago.

        The weight store limits its rate, so that one question at a time is
        on its way for a model and its answer serves for a while.

        :returns: the version, or the fault if no answer is new enough.
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
