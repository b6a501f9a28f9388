"""Fixtures of all tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import structlog

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(autouse=True)
def log_defaults() -> Iterator[None]:
    """Undo what a command or a daemon of a test set up for its logs.

    The level holds for the process; without this, a test that reads logs
    would depend on the tests that ran before it.
    """
    yield
    structlog.reset_defaults()
