"""Tests of what a batch's rows say about running it."""

from __future__ import annotations

import pytest

from quetzalcourse.coordination.batches.directory import BatchView


@pytest.mark.parametrize(
    ('known_version', 'ended', 'may_run'),
    [(0, False, True), (5, False, True), (6, False, False), (5, True, False)],
)
def test_batch_runs_only_at_its_last_owner_and_before_its_end(
    known_version: int, *, ended: bool, may_run: bool
) -> None:
    """Guards against an owner that starts a batch which was taken over."""
    view = BatchView('b', owner_version=known_version, ended=ended)
    assert view.may_run(5) is may_run
