"""Exceptions of the package."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalcourse.state.refusal import Refusal


class QuetzalcourseError(Exception):
    """Base class of all exceptions of the package."""


class AbortError(QuetzalcourseError):
    """Ends a program with an error message and without a traceback.

    :param message: text for standard error.
    :param exit_code: the program's exit code.
    """

    def __init__(self, message: str, exit_code: int = 1) -> None:
        """Store the message and the exit code."""
        super().__init__(message)
        self.exit_code = exit_code


class RefusedError(QuetzalcourseError):
    """Ends a request with a refusal to its caller.

    :param refusal: response to the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal for the response."""
        super().__init__(refusal.message)
        self.refusal = refusal
