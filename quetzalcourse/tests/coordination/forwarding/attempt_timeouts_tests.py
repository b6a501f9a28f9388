"""Attempt timeouts derived from response times."""

from __future__ import annotations

from datetime import timedelta

from quetzalcourse.coordination.forwarding.attempt_timeouts import (
    AttemptTimeouts,
)

LONGEST = timedelta(milliseconds=600)
USUAL = timedelta(milliseconds=45)


def build_timeouts(answers: int = 50) -> AttemptTimeouts:
    """Build timeouts that have recorded usual response times."""
    timeouts = AttemptTimeouts()
    for number in range(answers):
        timeouts.on_answer('r', USUAL * (1 + number % 3 / 5))
    return timeouts


def test_route_without_enough_responses_uses_longest_timeout() -> None:
    """Few responses, or those of another route, must not set the timeout."""
    assert AttemptTimeouts().find_timeout('r', LONGEST) == LONGEST
    assert build_timeouts(3).find_timeout('r', LONGEST) == LONGEST
    assert build_timeouts().find_timeout('other', LONGEST) == LONGEST


def test_timeout_is_little_longer_than_usual_response() -> None:
    # One of several upstreams stops responding while the others take 45 to
    # 63 ms. Its requests must be retried early enough for a response within
    # about 200 ms.
    wait = build_timeouts().find_timeout('r', LONGEST)
    assert USUAL * 1.4 < wait <= timedelta(milliseconds=130)


def test_timeouts_grow_when_all_upstreams_become_slow() -> None:
    # Every upstream takes ten times as long. Requests that timed out after
    # the usual time would be sent twice just when slots are scarce.
    timeouts = build_timeouts()
    needed = USUAL * 10
    expired = 0
    while timeouts.find_timeout('r', LONGEST) < needed and expired < 100:
        timeouts.on_timeout('r', timeouts.find_timeout('r', LONGEST))
        expired += 1
    assert expired <= 12


def test_timeouts_shrink_when_responses_are_fast_again() -> None:
    """A few dozen fast responses must shorten a raised timeout."""
    timeouts = build_timeouts()
    for _ in range(20):
        timeouts.on_answer('r', timedelta(milliseconds=500))
    assert timeouts.find_timeout('r', LONGEST) >= timedelta(milliseconds=500)
    for _ in range(40):
        timeouts.on_answer('r', USUAL)
    assert timeouts.find_timeout('r', LONGEST) < timedelta(milliseconds=200)


def test_timeout_is_bounded_by_time_left() -> None:
    """The bound also holds for routes whose responses usually take longer."""
    timeouts = build_timeouts()
    short = timedelta(milliseconds=20)
    assert timeouts.find_timeout('r', short) == short
