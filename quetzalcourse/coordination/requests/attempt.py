"""Outcome of one attempt to run a request on an upstream."""

from __future__ import annotations

from quetzalcourse.exceptions import QuetzalcourseError
from quetzalcourse.state.generation import NEVER_RAN, AttemptState

_TRANSITIONS = {
    AttemptState.not_sent: frozenset((AttemptState.maybe_sent,)),
    AttemptState.maybe_sent: frozenset(
        (
            AttemptState.refused,
            AttemptState.running,
            AttemptState.broken,
        )
    ),
    AttemptState.running: frozenset(
        (
            AttemptState.complete,
            AttemptState.broken,
        )
    ),
    AttemptState.refused: frozenset(),
    AttemptState.complete: frozenset(),
    AttemptState.broken: frozenset(),
}


class AttemptError(QuetzalcourseError):
    """Attempt that did not complete.

    :param state: what is known of the attempt.
    :param step: operation at which it failed.
    :param peer: name of the upstream.
    """

    def __init__(self, state: AttemptState, step: str, peer: str) -> None:
        """Keep what decides whether the request may be sent again."""
        super().__init__(f'{step} at {peer}: {state.value}')
        self.state = state
        self.step = step
        self.peer = peer


class Attempt:
    """State machine of one attempt.

    A request that may not be repeated is sent again, or called "not run",
    only from the states in which no upstream can have begun it. The states
    go forward only, so a late error can't make a sent request look unsent.
    """

    def __init__(self) -> None:
        """Begin before the first byte has left."""
        self.state = AttemptState.not_sent

    @property
    def never_ran(self) -> bool:
        """Whether it is certain that no upstream ran the request."""
        return self.state in NEVER_RAN

    def advance(self, state: AttemptState) -> None:
        """Move forward; a state that does not follow is ignored.

        :param state: what has become known.
        """
        if state in _TRANSITIONS[self.state]:
            self.state = state
