"""Tests of the rate limit and the non-blocking output of log lines."""

from __future__ import annotations

import asyncio
import os
import time

import pytest
import structlog

from quetzalcourse.log_output import LogRateLimiter, NonBlockingOutput

LINE = 'x' * 999 + '\n'


def test_flood_of_one_event_hides_no_other() -> None:
    # Thousands of requests are refused within a second. Without a limit the
    # one line with the cause would be hard to find, and writing the others
    # would slow the requests down.
    now = 0.0
    limit = LogRateLimiter(10, lambda: now)
    passed = 0
    for _ in range(1000):
        try:
            limit(None, 'info', {'event': 'Request refused.'})
        except structlog.DropEvent:
            continue
        passed += 1
    assert passed == 10
    assert limit(None, 'info', {'event': 'Store does not answer.'})
    now = 1.0
    line = limit(None, 'info', {'event': 'Request refused.'})
    assert line['left_out'] == 990
    assert limit.suppressed == 990


@pytest.mark.asyncio
async def test_stalled_reader_costs_lines_but_does_not_block() -> None:
    # The log collector stops reading. The daemon must not block; after the
    # reader continues, complete lines follow and dropped ones are counted.
    reader, writer = os.pipe()
    output = NonBlockingOutput(writer, buffer_bytes=20_000)
    began = time.monotonic()
    for _ in range(200):
        output.write(LINE)
    assert time.monotonic() - began < 0.5
    assert output.dropped > 0
    seen = b''
    os.set_blocking(reader, False)
    for _ in range(100):
        try:
            seen += os.read(reader, 1_000_000)
        except BlockingIOError:
            pass
        await asyncio.sleep(0.005)
    lines = seen.decode().split('\n')
    assert len(lines) - 1 == 200 - output.dropped
    assert set(lines[:-1]) == {LINE.rstrip()}
    output.write('last\n')
    assert os.read(reader, 100) == b'last\n'
    os.close(reader)
    output.write(LINE)
    assert output.dropped == 200 - len(lines) + 2
    os.close(writer)
