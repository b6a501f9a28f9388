"""Tests of signals while a daemon starts."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import pytest

from quetzalcourse import daemon

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def hangup_ends_the_process() -> Iterator[None]:
    """Set SIGHUP to the default action of a new process."""
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, before)


@pytest.mark.usefixtures('hangup_ends_the_process')
def test_reload_signal_during_the_start_is_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The platform sends SIGHUP for changed settings while a daemon restarts.
    # The process would end again, and its batches wait another second.
    seen: list[object] = []

    def start(_: object) -> int:
        signal.raise_signal(signal.SIGHUP)
        seen.append(signal.getsignal(signal.SIGHUP))
        return 0

    monkeypatch.setattr(daemon, 'start', start)
    assert daemon.main([]) == 0
    assert seen == [signal.SIG_IGN]
