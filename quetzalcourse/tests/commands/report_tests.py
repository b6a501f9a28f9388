"""Tests of the burn report as table, JSON and HTML, for two daemons."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import pytest

from quetzalcourse.__main__ import main
from quetzalcourse.commands.burn_page import render_page
from quetzalcourse.commands.report import build_document, print_burns
from quetzalcourse.coordination.service_levels.burn import (
    LevelBurn,
    compute_burns,
)
from quetzalcourse.coordination.service_levels.service_levels import (
    ServiceLevelTracker,
)
from quetzalcourse.protocol.exposition import read_events
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.manifest import Manifest, ServiceLevel
from quetzalcourse.state.service_levels import Indicator
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.transport.metrics import render_metrics

if TYPE_CHECKING:
    from pathlib import Path

    from syrupy.assertion import SnapshotAssertion

    from quetzalcourse.coordination.service_levels.burn import LevelEvents

PERIOD = timedelta(days=28)
LEVELS = {
    'first-token': ServiceLevel(
        'first-token',
        Indicator.human_latency,
        0.95,
        timedelta(milliseconds=300),
        PERIOD,
    ),
    'answered': ServiceLevel(
        'answered', Indicator.human_success, 0.99, None, PERIOD
    ),
}
SILENT = ['127.0.0.9:8080']


def render_daemon(slow: int) -> str:
    """Render the metrics of a daemon.

    :param slow: requests out of 40 that exceeded the latency threshold.
    """
    counters = Counters()
    levels = ServiceLevelTracker(FakeClock(), counters)
    levels.on_manifest(Manifest(service_levels=LEVELS))
    for index in range(40):
        late = index < slow
        account = 'archive' if index % 4 == 0 else 'readers'
        duration = timedelta(milliseconds=900 if late else 90)
        levels.observe(Indicator.human_latency, account, duration)
        levels.record(Indicator.human_success, account, good=index > 0)
    levels.publish()
    return render_metrics(counters).decode()


@pytest.fixture
def burns() -> list[LevelBurn]:
    """Compute the burn rates of two daemons together."""
    events: dict[str, LevelEvents] = {}
    read_events(render_daemon(slow=0), events)
    read_events(render_daemon(slow=30), events)
    return compute_burns(LEVELS.values(), events)


def test_table(
    burns: list[LevelBurn],
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
) -> None:
    print_burns(burns, SILENT)
    assert capsys.readouterr().out == snapshot


def test_document(
    burns: list[LevelBurn],
    snapshot: SnapshotAssertion,
) -> None:
    assert build_document(burns, SILENT) == snapshot


def test_page(burns: list[LevelBurn], snapshot: SnapshotAssertion) -> None:
    page = render_page(burns, SILENT)
    assert 'http' not in page
    assert page == snapshot


def test_unreachable_daemons_fail_the_report(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # All daemons are down, or the addresses are wrong. A report of zero
    # events would look like an unused budget.
    manifest = tmp_path / 'manifest.toml'
    manifest.write_text(
        '[service_levels.answered]\n'
        'indicator = "human_success"\n'
        'objective = 0.99\n'
    )
    code = main(
        [
            *('report', 'burn', '--manifest', str(manifest)),
            *('--daemon', '127.0.0.1:1'),
        ]
    )
    assert code == 1
    assert 'no daemon answers' in capsys.readouterr().err
