"""State of one attempt to run a request on an upstream."""

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

    :param state: known state of the attempt.
    :param step: operation that failed.
    :param peer: name of the upstream.
    """

    def __init__(self, state: AttemptState, step: str, peer: str) -> None:
        """Keep the state that decides whether the request may be sent again."""
        super().__init__(f'{step} at {peer}: {state.value}')
        self.state = state
        self.step = step
        self.peer = peer


class Attempt:
    """State machine of one attempt.

    A non-repeatable request is sent again, or reported as "not run", only from
    the states in which no upstream can have started it. Transitions only go
    forward, so a late error can't make a sent request look unsent.
    """

    def __init__(self) -> None:
        """Create in the state before the first byte is sent."""
        self.state = AttemptState.not_sent

    @property
    def never_ran(self) -> bool:
        """Whether it is certain that no upstream ran the request."""
        return self.state in NEVER_RAN

    def advance(self, state: AttemptState) -> None:
        """Move to a following state; ignore any other.

        :param state: newly known state.
        """
        if state in _TRANSITIONS[self.state]:
            self.state = state
