"""Counts of the bench that do not depend on the machine's speed."""

from __future__ import annotations

import asyncio
import importlib

import pytest

from bench.figure import Bound, Figure, at_least, at_most

DETERMINISTIC = ('prefixes', 'waves', 'fleet')


@pytest.mark.parametrize('name', DETERMINISTIC)
def test_bounds_hold(name: str) -> None:
    # A change makes a decision worse without breaking it. Nothing fails,
    # and it shows only when somebody runs the whole bench.
    suite = importlib.import_module(f'bench.suites.{name}')
    figures = asyncio.run(suite.measure())
    assert {figure.name for figure in figures} >= set(suite.FIGURES)
    assert [figure.name for figure in figures if not figure.ok] == []


@pytest.mark.parametrize(
    ('bound', 'value', 'holds'),
    [
        (at_most(1.3), 1.3, True),
        (at_most(1.3), 1.31, False),
        (at_least(0.9), 0.9, True),
        (at_least(0.9), 0.89, False),
    ],
)
def test_figure_keeps_its_bound(
    bound: Bound, value: float, holds: bool
) -> None:
    figure = Figure('f', value, 'unit', bound)
    assert figure.ok is holds
