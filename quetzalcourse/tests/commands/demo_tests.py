"""Tests of ``quetzalctl demo --platform``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.__main__ import main

if TYPE_CHECKING:
    import pytest


def test_platform_demo_completes_a_batch_after_failover(
    capsys: pytest.CaptureFixture[str],
) -> None:
    # One of the two daemons is stopped while it owns a batch. The other one
    # must take the batch over and return every item.
    assert main(['demo', '--platform']) == 0
    shown = capsys.readouterr().out
    assert '8 served' in shown
    assert '24 results at the other one, 24 with a score' in shown
    assert 'versions [2]' in shown
    assert 'usage reports' in shown
