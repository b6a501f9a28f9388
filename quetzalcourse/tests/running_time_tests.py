"""Tests of the time that tests use as a bound on overloaded machines."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import time
from typing import TYPE_CHECKING

import pytest

from quetzalcourse.tests.running_time import TICK_SECONDS, RunningTime

if TYPE_CHECKING:
    from collections.abc import Callable

PAUSE_SECONDS = 0.5
TOLERANCE_SECONDS = 0.15


def spin(seconds: float) -> None:
    """Use the processor for some time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        pass


def pause_process() -> subprocess.Popen[bytes]:
    """Stop this process for some time.

    :returns: the process that has resumed it.
    """
    resume = f'sleep {PAUSE_SECONDS}; kill -CONT {os.getpid()}'
    resuming = subprocess.Popen(['sh', '-c', resume])
    os.kill(os.getpid(), signal.SIGSTOP)
    return resuming


@pytest.mark.parametrize('wait', [time.sleep, spin])
def test_work_and_waits_of_the_process_count(
    wait: Callable[[float], None],
) -> None:
    """Guards against a bound that a slow or blocked product can't break."""
    running_time = RunningTime()
    began = time.monotonic()
    wait(PAUSE_SECONDS)
    measured = running_time.measure(began, time.monotonic())
    running_time.stop()
    assert measured > PAUSE_SECONDS - TOLERANCE_SECONDS


async def test_pauses_of_the_process_do_not_count() -> None:
    """Guards against bounds that fail while the machine is overloaded."""
    running_time = RunningTime()
    began = time.monotonic()
    pause_process().wait()
    await asyncio.sleep(TOLERANCE_SECONDS)
    ended = time.monotonic()
    running_time.stop()
    assert ended - began > PAUSE_SECONDS
    measured = running_time.measure(began, ended)
    assert measured < PAUSE_SECONDS


async def test_sleep_lasts_for_the_running_time() -> None:
    """Guards against a wait that a pause of the process cuts short."""
    running_time = RunningTime()
    began = time.monotonic()
    await running_time.sleep(PAUSE_SECONDS)
    measured = running_time.measure(began, time.monotonic())
    running_time.stop()
    assert measured >= PAUSE_SECONDS


async def test_pause_prolongs_a_sleep() -> None:
    """Guards against a sleep that ends before the watch knows of a pause."""
    running_time = RunningTime()
    pauses: list[subprocess.Popen[bytes]] = []
    began = time.monotonic()
    asyncio.get_running_loop().call_later(
        TOLERANCE_SECONDS, lambda: pauses.append(pause_process())
    )
    await running_time.sleep(2 * TOLERANCE_SECONDS)
    ended = time.monotonic()
    pauses[0].wait()
    await asyncio.sleep(TOLERANCE_SECONDS)
    running_time.stop()
    assert ended - began > PAUSE_SECONDS
    # A pause is measured with a precision of one tick at each end.
    seconds = 2 * TOLERANCE_SECONDS - 2 * TICK_SECONDS
    assert running_time.measure(began, ended) >= seconds
