"""Runner of every measure: ``python -m bench [--only NAME]``."""

from __future__ import annotations

import argparse
import importlib
import json
import os
import pkgutil
import resource
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from bench import suites
from bench.figure import Figure, at_most
from quetzalcourse.commands.output import write_line, write_table
from quetzalcourse.log import configure_log
from quetzalcourse.loop import run_loop

if TYPE_CHECKING:
    from types import ModuleType


MAX_SECONDS = 600.0
LARGEST_SHARE = 0.5
KILOBYTE = 1024
RESULTS = Path(__file__).with_name('results.json')
HEADER = ('figure', 'value', 'unit', 'baseline', 'bound', 'verdict', 'detail')


def load_suites() -> list[ModuleType]:
    """Import every suite; each has ``FIGURES`` and ``async measure()``."""
    return [
        importlib.import_module(f'{suites.__name__}.{module.name}')
        for module in pkgutil.iter_modules(suites.__path__)
    ]


def select_suites(only: str) -> list[ModuleType]:
    """Choose the suites to run.

    :param only: name of a suite or a figure, empty for all.
    """
    return [
        suite
        for suite in load_suites()
        if not only
        or only in suite.FIGURES
        or suite.__name__.endswith(f'.{only}')
    ]


async def measure_all(chosen: list[ModuleType]) -> int:
    """Run suites one after another, print and keep their figures.

    :returns: 0 if every bound holds.
    """
    figures: list[Figure] = []
    started = time.monotonic()
    for suite in chosen:
        began = time.monotonic()
        figures.extend(await suite.measure())
        seconds = time.monotonic() - began
        write_line(f'{suite.__name__}: {seconds:.1f} s')
    if len(chosen) == len(load_suites()):
        figures.extend(measure_run(started))
    write_table(HEADER, [format_figure(figure) for figure in figures])
    save_figures(figures)
    return 0 if all(figure.ok for figure in figures) else 1


def measure_run(began: float) -> list[Figure]:
    """Measure the bench itself against its own limits.

    :param began: monotonic time at its start.
    """
    own = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    largest = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss
    machine = os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')
    share = (own + largest) * KILOBYTE / machine
    return [
        Figure(
            'bench_seconds',
            time.monotonic() - began,
            's',
            at_most(MAX_SECONDS),
        ),
        Figure(
            'bench_memory_share',
            share,
            'of the machine',
            at_most(LARGEST_SHARE),
            detail='bench and its largest process',
        ),
    ]


def format_figure(figure: Figure) -> tuple[str, ...]:
    """Write a figure as a row of the table."""
    baseline = '-' if figure.baseline is None else f'{figure.baseline:.4g}'
    return (
        figure.name,
        f'{figure.value:.4g}',
        figure.unit,
        baseline,
        str(figure.bound),
        'ok' if figure.ok else 'FAILED',
        figure.detail,
    )


def save_figures(figures: list[Figure]) -> None:
    """Write the figures into the results, beside those not measured now."""
    results: dict[str, Any] = {}
    if RESULTS.exists():
        results = json.loads(RESULTS.read_text())
    for figure in figures:
        results[figure.name] = {
            'value': figure.value,
            'unit': figure.unit,
            'baseline': figure.baseline,
            'bound': str(figure.bound),
            'ok': figure.ok,
            'detail': figure.detail,
        }
    RESULTS.write_text(json.dumps(results, indent=2, sort_keys=True) + '\n')


def main() -> int:
    """Run the bench."""
    parser = argparse.ArgumentParser(prog='bench')
    parser.add_argument('--only', default='', metavar='NAME')
    options = parser.parse_args()
    chosen = select_suites(options.only)
    if not chosen:
        parser.error(f'no suite or figure is named {options.only!r}')
    configure_log('error', 'console')
    return run_loop(measure_all(chosen))


if __name__ == '__main__':
    sys.exit(main())
