"""How long attempts wait, by what answers have shown."""

from __future__ import annotations

from datetime import timedelta

from quetzalcourse.coordination.forwarding.attempt_timeouts import (
    AttemptTimeouts,
)

LONGEST = timedelta(milliseconds=600)
USUAL = timedelta(milliseconds=45)


def build_timeouts(answers: int = 50) -> AttemptTimeouts:
    """Build one that has seen usual answers."""
    timeout = AttemptTimeouts()
    for number in range(answers):
        timeout.on_answer('r', USUAL * (1 + number % 3 / 5))
    return timeout


def test_unknown_route_waits_longest() -> None:
    """A few answers say nothing yet, and other routes never do."""
    assert AttemptTimeouts().find_timeout('r', LONGEST) == LONGEST
    assert build_timeouts(3).find_timeout('r', LONGEST) == LONGEST
    assert build_timeouts().find_timeout('other', LONGEST) == LONGEST


def test_silent_upstream_costs_little_more_than_an_answer() -> None:
    # One upstream of several falls silent; answers elsewhere take 45 to 63
    # ms. Its requests must reach another one in time for the answer to be
    # there within some 200 ms.
    wait = build_timeouts().find_timeout('r', LONGEST)
    assert USUAL * 1.4 < wait <= timedelta(milliseconds=130)


def test_waits_grow_when_all_upstreams_turn_slow() -> None:
    # Every upstream takes ten times as long. Requests that gave up on each
    # after the usual time would be sent twice just when slots are short.
    timeout = build_timeouts()
    needed = USUAL * 10
    vain = 0
    while timeout.find_timeout('r', LONGEST) < needed and vain < 100:
        timeout.on_timeout('r', timeout.find_timeout('r', LONGEST))
        vain += 1
    assert vain <= 12


def test_waits_shrink_again() -> None:
    """Once answers are quick again, within some tens of them."""
    timeout = build_timeouts()
    for _ in range(20):
        timeout.on_answer('r', timedelta(milliseconds=500))
    assert timeout.find_timeout('r', LONGEST) >= timedelta(milliseconds=500)
    for _ in range(40):
        timeout.on_answer('r', USUAL)
    assert timeout.find_timeout('r', LONGEST) < timedelta(milliseconds=200)


def test_wait_is_bounded_by_the_time_left() -> None:
    """Also where answers usually take longer than that."""
    timeout = build_timeouts()
    short = timedelta(milliseconds=20)
    assert timeout.find_timeout('r', short) == short
