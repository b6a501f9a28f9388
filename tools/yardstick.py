"""Plays a fixed set of days on checkouts, and compares what they are worth.

One day differs from run to run by more than most changes of policy bring, so
a change is judged by the same days with the same seeds on the code before
and after it::

    python -m tools.yardstick --program PATH --site FILE --checkout before \\
        --checkout after --why "..."
"""

from __future__ import annotations

import argparse
import itertools
import json
import statistics
import subprocess  # noqa: S404
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

QUIET = 'quiet'
SEEDS = (11, 12, 13, 14)
# Two processors of eight stay free for the system and the person.
JOBS = 6
# Days on which something goes wrong on purpose, apart from high load.
TROUBLE = 'trouble'


@dataclass(frozen=True, slots=True)
class Play:
    """One day to play.

    :param slot: kind of the day, as its site names it.
    """

    checkout: Path
    site: Path
    day: str
    slot: str
    seed: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a day was worth.

    :param worth: ``None`` if the day was not played to its end.
    :param broken: rules that were broken, with their counts.
    """

    worth: float | None
    broken: dict[str, int]
    served: float
    nines: float
    connections: int


def read_options() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition('\n')[0])
    parser.add_argument('--program', type=Path, required=True)
    parser.add_argument('--site', type=Path, action='append', required=True)
    parser.add_argument('--checkout', type=Path, action='append', required=True)
    parser.add_argument('--seeds', type=int, nargs='+', default=SEEDS)
    parser.add_argument('--days', nargs='+', help='default: all but quiet ones')
    parser.add_argument('--jobs', type=int, default=JOBS)
    parser.add_argument('--day-cap', type=int)
    parser.add_argument('--why', required=True)
    parser.add_argument('--reports', type=Path, help='folder to keep them in')
    return parser.parse_args()


def list_plays(options: argparse.Namespace) -> list[Play]:
    """List the days to play, seed by seed."""
    plays = []
    for site, seed in itertools.product(options.site, options.seeds):
        days = [
            day
            for day in tomllib.loads(site.read_text())['day']
            if _is_wanted(day, options.days)
        ]
        plays += [
            Play(checkout.resolve(), site, day['name'], day['slot'], seed)
            for day, checkout in itertools.product(days, options.checkout)
        ]
    return plays


def _is_wanted(day: dict[str, str], names: list[str] | None) -> bool:
    if names:
        return day['name'] in names
    return day['slot'] != QUIET


def play(options: argparse.Namespace, one: Play) -> Outcome:
    """Play one day and read its report."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        command = [
            str(options.program.resolve()),
            'run',
            str(one.site.resolve()),
            one.day,
            '--no-cpu',
            '--seed',
            str(one.seed),
            '--report',
            str(report),
            '--why',
            options.why,
        ]
        if options.day_cap:
            command += ['--day-cap', str(options.day_cap)]
        ended = subprocess.run(  # noqa: S603
            command,
            cwd=one.checkout,
            capture_output=True,
            text=True,
            check=False,
        )
        if not report.exists():
            sys.stderr.write(ended.stdout[-2000:] + ended.stderr[-2000:])
            return Outcome(None, {}, 0, 0, 0)
        text = report.read_text()
    if options.reports:
        name = f'{one.checkout.name}-{one.site.stem}-{one.day}-{one.seed}.json'
        options.reports.mkdir(parents=True, exist_ok=True)
        (options.reports / name).write_text(text)
    return read_report(json.loads(text))


def read_report(report: dict) -> Outcome:
    """Read what a day was worth from its report."""
    parts = {part[0]: part[2] for part in report['parts']}
    prices = {price[0]: price[1] for price in report['prices']}
    broken = dict(report['breaks'])
    if report['fault']:
        broken['fault'] = 1
    return Outcome(
        report['G'],
        broken,
        report['served'],
        parts.get('nines', 0),
        int(prices.get('new connections to servers', 0)),
    )


def show(plays: list[Play], outcomes: list[Outcome]) -> None:
    """Print the worth of each day, and the means of each checkout."""
    rows: dict[tuple[str, str, int], dict[Path, Outcome]] = {}
    for one, outcome in zip(plays, outcomes, strict=True):
        key = (one.site.stem, one.day, one.seed)
        rows.setdefault(key, {})[one.checkout] = outcome
    for (site, day, seed), found in sorted(rows.items()):
        cells = '   '.join(_show_outcome(one) for one in found.values())
        sys.stdout.write(f'{site} {day:10} {seed:4}   {cells}\n')
    for checkout in dict.fromkeys(one.checkout for one in plays):
        for path in dict.fromkeys(one.site for one in plays):
            _show_means(checkout, path, plays, outcomes)


def _show_outcome(outcome: Outcome) -> str:
    if outcome.worth is None:
        return 'not played'
    figures = (
        f'{outcome.worth:.3f} served {outcome.served:.3f}'
        f' nines {outcome.nines:.2f} connections {outcome.connections}'
    )
    return f'{figures} BROKEN {outcome.broken}' if outcome.broken else figures


def _show_means(
    checkout: Path,
    site: Path,
    plays: list[Play],
    outcomes: list[Outcome],
) -> None:
    worths: dict[str, list[float]] = {}
    for one, outcome in zip(plays, outcomes, strict=True):
        if one.checkout != checkout or one.site != site:
            continue
        if outcome.worth is not None:
            worths.setdefault(one.slot, []).append(outcome.worth)
    means = '  '.join(
        f'{slot} {statistics.mean(found):.3f} of {len(found)}'
        for slot, found in sorted(worths.items())
    )
    everything = [worth for found in worths.values() for worth in found]
    total = statistics.mean(everything) if everything else 0
    sys.stdout.write(
        f'mean {checkout.name} {site.stem}: {means}  all {total:.4f}\n'
    )


def main() -> None:
    """Play and compare."""
    options = read_options()
    plays = list_plays(options)
    with ThreadPoolExecutor(options.jobs) as pool:
        outcomes = list(pool.map(lambda one: play(options, one), plays))
    show(plays, outcomes)


if __name__ == '__main__':
    main()
