"""Reports of libraries as lines like all others."""

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
    """Give a library's log whose reports are collected."""
    logger = logging.getLogger('some.library')
    handler = LibraryLogHandler()
    logger.addHandler(handler)
    logger.propagate = False
    yield logger
    logger.removeHandler(handler)
    structlog.reset_defaults()


def test_trace_of_a_library_becomes_one_line(
    library: logging.Logger,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # A request is cancelled while a daemon stops, and the HTTP server
    # reports it with a trace. Its lines have no fields to search by.
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


def test_report_without_an_error_is_a_line_too(
    library: logging.Logger,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Its level is kept."""
    configure_log('info', 'json', sys.stdout)
    library.warning('Unclosed session')
    line = json.loads(capsys.readouterr().out)
    assert (line['level'], line['report']) == ('warning', 'Unclosed session')
