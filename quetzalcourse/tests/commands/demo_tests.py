"""The demo of the whole path on a platform of stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.__main__ import main

if TYPE_CHECKING:
    import pytest


def test_platform_demo_shows_the_whole_path(
    capsys: pytest.CaptureFixture[str],
) -> None:
    # One of the two daemons is ended while it owns a batch. Whoever tries
    # the demo sees every item come back from the other one.
    assert main(['demo', '--platform']) == 0
    shown = capsys.readouterr().out
    assert '8 served' in shown
    assert '24 results at the other one, 24 with a score' in shown
    assert 'versions [2]' in shown
    assert 'usage reports' in shown
