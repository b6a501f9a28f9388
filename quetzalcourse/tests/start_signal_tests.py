"""Signals while a daemon starts."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import pytest

from quetzalcourse import daemon

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def hangup_ends_the_process() -> Iterator[None]:
    """Set the signal's effect to what a new process has."""
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, before)


@pytest.mark.usefixtures('hangup_ends_the_process')
def test_changed_settings_do_not_end_a_daemon_that_starts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The platform tells of changed settings while a daemon starts again. Its
    # process would end once more, and its batches wait for another second.
    seen: list[object] = []

    def start(_: object) -> int:
        signal.raise_signal(signal.SIGHUP)
        seen.append(signal.getsignal(signal.SIGHUP))
        return 0

    monkeypatch.setattr(daemon, 'start', start)
    assert daemon.main([]) == 0
    assert seen == [signal.SIG_IGN]
