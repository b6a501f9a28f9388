"""Fixtures of all tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import structlog

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(autouse=True)
def log_defaults() -> Iterator[None]:
    """Reset the log configuration that a command or daemon of a test set.

    The level applies to the whole process. Without the reset, tests that read
    logs would depend on the tests that ran before them.
    """
    yield
    structlog.reset_defaults()
