"""Tests of bench suites whose figures do not depend on machine speed."""

from __future__ import annotations

import asyncio
import importlib

import pytest

from bench.__main__ import load_suites
from bench.figure import Bound, Figure, at_least, at_most

DETERMINISTIC = ('prefixes', 'waves', 'fleet', 'quarantine')


@pytest.mark.parametrize('name', DETERMINISTIC)
def test_bounds_hold(name: str) -> None:
    # A change makes a decision worse without failing a test. It would show
    # only in a run of the whole bench.
    suite = importlib.import_module(f'bench.suites.{name}')
    figures = asyncio.run(suite.measure())
    assert {figure.name for figure in figures} >= set(suite.FIGURES)
    assert [figure.name for figure in figures if not figure.ok] == []


def test_every_suite_loads() -> None:
    """Guards against a bench that fails on a renamed module."""
    names = [name for suite in load_suites() for name in suite.FIGURES]
    assert len(names) == len(set(names)) > 20


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
