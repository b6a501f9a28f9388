"""Run the same simulated days on several checkouts and compare their scores.

The score of a day varies more between runs than most policy changes affect it,
so a change is evaluated on the same days and seeds before and after it::

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

QUIET_KIND = 'quiet'
DEFAULT_SEEDS = (11, 12, 13, 14)
# Leaves two of eight processors to the system and its user.
DEFAULT_JOBS = 6
# Days with an injected fault other than high load.
TROUBLE_KIND = 'trouble'


@dataclass(frozen=True, slots=True)
class DayRun:
    """A simulated day to run on one checkout with one seed.

    :param day: name of the day in the site file.
    :param day_kind: kind of the day, from its ``slot`` in the site file.
    """

    checkout: Path
    site: Path
    day: str
    day_kind: str
    seed: int


@dataclass(frozen=True, slots=True)
class DayResult:
    """Score and figures from the report of one day.

    :param score: ``None`` if the day did not run to its end.
    :param violations: number of violations by rule.
    """

    score: float | None
    violations: dict[str, int]
    served: float
    nines: float
    connections: int


def parse_options() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition('\n')[0])
    parser.add_argument('--program', type=Path, required=True)
    parser.add_argument('--site', type=Path, action='append', required=True)
    parser.add_argument('--checkout', type=Path, action='append', required=True)
    parser.add_argument('--seeds', type=int, nargs='+', default=DEFAULT_SEEDS)
    parser.add_argument(
        '--days', nargs='+', help='default: all days that are not quiet'
    )
    parser.add_argument('--jobs', type=int, default=DEFAULT_JOBS)
    parser.add_argument('--day-cap', type=int)
    parser.add_argument('--why', required=True)
    parser.add_argument(
        '--reports', type=Path, help='directory to save the reports in'
    )
    return parser.parse_args()


def list_day_runs(options: argparse.Namespace) -> list[DayRun]:
    """List the days to run, ordered by site and seed."""
    day_runs = []
    for site, seed in itertools.product(options.site, options.seeds):
        days = [
            day
            for day in tomllib.loads(site.read_text())['day']
            if _is_wanted(day, options.days)
        ]
        day_runs += [
            DayRun(checkout.resolve(), site, day['name'], day['slot'], seed)
            for day, checkout in itertools.product(days, options.checkout)
        ]
    return day_runs


def _is_wanted(day: dict[str, str], names: list[str] | None) -> bool:
    if names:
        return day['name'] in names
    return day['slot'] != QUIET_KIND


def run_day(options: argparse.Namespace, day_run: DayRun) -> DayResult:
    """Run one day and parse its report."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        command = [
            str(options.program.resolve()),
            'run',
            str(day_run.site.resolve()),
            day_run.day,
            '--no-cpu',
            '--seed',
            str(day_run.seed),
            '--report',
            str(report),
            '--why',
            options.why,
        ]
        if options.day_cap:
            command += ['--day-cap', str(options.day_cap)]
        process = subprocess.run(  # noqa: S603
            command,
            cwd=day_run.checkout,
            capture_output=True,
            text=True,
            check=False,
        )
        if not report.exists():
            sys.stderr.write(process.stdout[-2000:] + process.stderr[-2000:])
            return DayResult(None, {}, 0, 0, 0)
        text = report.read_text()
    if options.reports:
        name = (
            f'{day_run.checkout.name}-{day_run.site.stem}'
            f'-{day_run.day}-{day_run.seed}.json'
        )
        options.reports.mkdir(parents=True, exist_ok=True)
        (options.reports / name).write_text(text)
    return parse_report(json.loads(text))


def parse_report(report: dict) -> DayResult:
    """Extract the score and figures of a day from its report."""
    parts = {part[0]: part[2] for part in report['parts']}
    prices = {price[0]: price[1] for price in report['prices']}
    violations = dict(report['breaks'])
    if report['fault']:
        violations['fault'] = 1
    return DayResult(
        report['G'],
        violations,
        report['served'],
        parts.get('nines', 0),
        int(prices.get('new connections to servers', 0)),
    )


def print_results(day_runs: list[DayRun], results: list[DayResult]) -> None:
    """Print the score of each day and the mean scores of each checkout."""
    rows: dict[tuple[str, str, int], dict[Path, DayResult]] = {}
    for day_run, result in zip(day_runs, results, strict=True):
        key = (day_run.site.stem, day_run.day, day_run.seed)
        rows.setdefault(key, {})[day_run.checkout] = result
    for (site, day, seed), by_checkout in sorted(rows.items()):
        cells = '   '.join(
            _format_result(result) for result in by_checkout.values()
        )
        sys.stdout.write(f'{site} {day:10} {seed:4}   {cells}\n')
    for checkout in dict.fromkeys(day_run.checkout for day_run in day_runs):
        for path in dict.fromkeys(day_run.site for day_run in day_runs):
            _print_means(checkout, path, day_runs, results)


def _format_result(result: DayResult) -> str:
    if result.score is None:
        return 'not finished'
    figures = (
        f'{result.score:.3f} served {result.served:.3f}'
        f' nines {result.nines:.2f} connections {result.connections}'
    )
    return (
        f'{figures} BROKEN {result.violations}'
        if result.violations
        else figures
    )


def _print_means(
    checkout: Path,
    site: Path,
    day_runs: list[DayRun],
    results: list[DayResult],
) -> None:
    scores: dict[str, list[float]] = {}
    for day_run, result in zip(day_runs, results, strict=True):
        if day_run.checkout != checkout or day_run.site != site:
            continue
        if result.score is not None:
            scores.setdefault(day_run.day_kind, []).append(result.score)
    means = '  '.join(
        f'{day_kind} {statistics.mean(kind_scores):.3f} of {len(kind_scores)}'
        for day_kind, kind_scores in sorted(scores.items())
    )
    all_scores = [
        score for kind_scores in scores.values() for score in kind_scores
    ]
    overall_mean = statistics.mean(all_scores) if all_scores else 0
    sys.stdout.write(
        f'mean {checkout.name} {site.stem}: {means}  all {overall_mean:.4f}\n'
    )


def main() -> None:
    """Run the days in parallel and print the comparison."""
    options = parse_options()
    day_runs = list_day_runs(options)
    with ThreadPoolExecutor(options.jobs) as pool:
        results = list(
            pool.map(lambda day_run: run_day(options, day_run), day_runs)
        )
    print_results(day_runs, results)


if __name__ == '__main__':
    main()
