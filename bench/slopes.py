"""Slopes of a cost over a size, fitted to measured points."""

from __future__ import annotations

import gc
import os
import tracemalloc
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

KILOBYTE = 1024
TICKS = os.sysconf('SC_CLK_TCK')
USER_FIELD = 11
SYSTEM_FIELD = 12


@dataclass(frozen=True, slots=True)
class Slope:
    """Straight line through measured points.

    :param start: cost at size 0.
    :param each: cost of each further one.
    :param error: largest distance of a point from the line, as a share of
        the largest cost.
    """

    start: float
    each: float
    error: float


def fit_slope(sizes: Sequence[float], costs: Sequence[float]) -> Slope:
    """Fit a line by least squares.

    :param sizes: three or more sizes.
    :param costs: the cost measured at each.
    """
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_cost = sum(costs) / count
    pairs = list(zip(sizes, costs, strict=True))
    spread = sum((size - mean_size) ** 2 for size in sizes)
    shared = sum(
        (size - mean_size) * (cost - mean_cost) for size, cost in pairs
    )
    each = shared / spread
    start = mean_cost - each * mean_size
    largest = max(abs(cost) for cost in costs) or 1.0
    error = max(abs(cost - start - each * size) for size, cost in pairs)
    return Slope(start, each, error / largest)


def measure_kept(build: Callable[[], object]) -> int:
    """Measure the bytes that an object keeps allocated.

    :param build: makes the object.
    """
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def read_resident(pid: int) -> int:
    """Read the resident memory of a process, in bytes."""
    return _read_status(pid, 'VmRSS:')


def read_processor_time(pid: int) -> float:
    """Read the processor time of a process so far, in seconds."""
    stat = Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    return (int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])) / TICKS


def _read_status(pid: int, name: str) -> int:
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    line = next(line for line in lines if line.startswith(name))
    return int(line.split()[1]) * KILOBYTE
