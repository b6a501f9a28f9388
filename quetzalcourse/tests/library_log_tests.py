"""Tests of the handler for log records of libraries."""

from __future__ import annotations

import json
import logging
import sys
from typing import TYPE_CHECKING

import pytest
import structlog

from quetzalcourse.library_log import MAX_MESSAGE_LENGTH, LibraryLogHandler
from quetzalcourse.log import configure_log

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def library() -> Iterator[logging.Logger]:
    """Provide a library's logger with the handler attached."""
    logger = logging.getLogger('some.library')
    handler = LibraryLogHandler()
    logger.addHandler(handler)
    logger.propagate = False
    yield logger
    logger.removeHandler(handler)
    structlog.reset_defaults()


def test_library_traceback_becomes_one_line(
    library: logging.Logger,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # A request is cancelled while a daemon stops, and the HTTP server logs a
    # traceback, whose lines have no fields to search by.
    configure_log('info', 'json', sys.stdout, None, 'vm-0')
    try:
        raise ConnectionResetError
    except ConnectionResetError:
        library.exception('Exception occurred: %s', 'x' * 1000)
    captured = capsys.readouterr()
    line = json.loads(captured.out)
    assert captured.err == ''
    assert line['event'] == 'Library log record.'
    assert line['error'] == 'ConnectionResetError'
    assert line['place'].startswith('library_log_tests.py:')
    assert len(line['report']) == MAX_MESSAGE_LENGTH
    assert line['vm'] == 'vm-0'


def test_library_record_without_an_error_is_logged(
    library: logging.Logger,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The record keeps its level."""
    configure_log('info', 'json', sys.stdout)
    library.warning('Unclosed session')
    line = json.loads(capsys.readouterr().out)
    assert (line['level'], line['report']) == ('warning', 'Unclosed session')
