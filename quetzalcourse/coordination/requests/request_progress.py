"""Progress of one generation request over its attempts."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.generation import NEVER_RAN
from quetzalcourse.state.refusal import Refusal, RefusalCode

if TYPE_CHECKING:
    from quetzalcourse.coordination.requests.chunk_assembler import (
        ChunkAssembler,
    )
    from quetzalcourse.coordination.requests.attempt import AttemptError
    from quetzalcourse.state.generation import GenerationRequest

MAX_ATTEMPTS_WITHOUT_PROGRESS = 4
MIN_RETRY_AFTER = timedelta(seconds=1)


def build_attempt_id(request_id: str, number: int) -> str:
    """Build the id of an attempt that is sent to the engine.

    A late cancellation or chunk of an earlier attempt must not affect the
    attempt that continues on the same engine.

    :param number: index of the attempt, starting from zero.
    """
    return f'{request_id}.{number}' if number else request_id


class RequestProgress:
    """A generation request and the state of its attempts.

    :param request: the request to run.
    :param assembler: the answer so far.
    """

    def __init__(
        self, request: GenerationRequest, assembler: ChunkAssembler
    ) -> None:
        """Create before the first attempt."""
        self.request = request
        self.assembler = assembler
        self.attempts = 0
        self.prompt_tokens = 0
        self.attempt_id = request.request_id
        self.failed: set[str] = set(request.avoid)
        self._may_have_run = False
        self._attempts_without_progress = 0
        self._length_at_start = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether too many attempts made no progress."""
        return self._attempts_without_progress >= MAX_ATTEMPTS_WITHOUT_PROGRESS

    def begin(self) -> None:
        """Start an attempt under a new id."""
        self.attempt_id = build_attempt_id(
            self.request.request_id, self.attempts
        )
        self.attempts += 1
        self._length_at_start = len(self.assembler.tokens)
        self.assembler.begin(self.attempt_id)

    def count_new_tokens(self) -> int:
        """Count the tokens that the current attempt added."""
        return len(self.assembler.tokens) - self._length_at_start

    def on_failed(self, error: AttemptError) -> bool:
        """Record how an attempt failed.

        :returns: whether it added tokens to the answer.
        """
        self._may_have_run = self._may_have_run or error.state not in NEVER_RAN
        progressed = self.count_new_tokens() > 0
        if progressed:
            self._attempts_without_progress = 0
            self.failed = set(self.request.avoid)
        else:
            self._attempts_without_progress += 1
        self.failed.add(error.peer)
        return progressed

    def on_interrupted(self) -> None:
        """Record that this daemon interrupted an attempt."""
        self._may_have_run = True

    def adjust_not_run(self, error: RefusedError) -> RefusedError:
        """Adjust a refusal of the next attempt to the whole request.

        An earlier attempt may have run, which the component that refuses the
        next one does not know.
        """
        not_run = error.refusal.not_run and not self._may_have_run
        return RefusedError(replace(error.refusal, not_run=not_run))

    def refuse_upstreams_failed(self, wait: timedelta) -> RefusedError:
        """Build the error for a request that no engine could finish.

        :param wait: time until an engine may be tried again.
        """
        return self._refuse(
            RefusalCode.upstream_failed,
            'No engine could finish the request.',
            'generate',
            max(wait, MIN_RETRY_AFTER),
        )

    def refuse_deadline_passed(self) -> RefusedError:
        """Build the error for a request whose deadline has passed."""
        return self._refuse(
            RefusalCode.deadline_exceeded,
            'The answer was not whole before the deadline.',
            'generate',
        )

    def refuse_deadline_too_near(self, needed: timedelta) -> RefusedError:
        """Build the error for a request with too little time left.

        :param needed: estimated duration of the answer.
        """
        return self._refuse(
            RefusalCode.deadline_exceeded,
            'Too little time was left for the answer.',
            'generate',
            max(needed, MIN_RETRY_AFTER),
        )

    def refuse_unknown_model(self) -> RefusedError:
        """Build the error for a model that no engine serves."""
        return self._refuse(
            RefusalCode.unknown_model,
            f'No engine serves the model {self.request.model!r}.',
            'route',
        )

    def _refuse(
        self,
        code: RefusalCode,
        message: str,
        step: str,
        retry_after: timedelta | None = None,
    ) -> RefusedError:
        return RefusedError(
            Refusal(
                code,
                message,
                not_run=not self._may_have_run,
                retry_after=retry_after,
                step=step,
            )
        )
