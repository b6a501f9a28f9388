"""Figures that the bench measures, with baseline and bound."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class BoundKind(enum.StrEnum):
    """Which side of the bound is good."""

    at_most = 'at most'
    at_least = 'at least'
    shown = 'shown'


@dataclass(frozen=True, slots=True)
class Bound:
    """Limit that a figure must keep.

    :param limit: the limit, in the figure's unit.
    """

    kind: BoundKind
    limit: float = 0.0

    def holds(self, value: float) -> bool:
        """Tell whether a figure keeps the limit."""
        if self.kind is BoundKind.at_most:
            return value <= self.limit
        if self.kind is BoundKind.at_least:
            return value >= self.limit
        return True

    def __str__(self) -> str:
        """Write the bound for a table."""
        if self.kind is BoundKind.shown:
            return '-'
        return f'{self.kind.value} {self.limit:g}'


SHOWN = Bound(BoundKind.shown)


def at_most(limit: float) -> Bound:
    """Bound a figure from above."""
    return Bound(BoundKind.at_most, limit)


def at_least(limit: float) -> Bound:
    """Bound a figure from below."""
    return Bound(BoundKind.at_least, limit)


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    :param baseline: the same figure without the mechanism, same run.
    :param detail: what else a reader wants to know, such as percentiles.
    """

    name: str
    value: float
    unit: str
    bound: Bound = SHOWN
    baseline: float | None = None
    detail: str = ''

    @property
    def ok(self) -> bool:
        """Whether the bound holds."""
        return self.bound.holds(self.value)
