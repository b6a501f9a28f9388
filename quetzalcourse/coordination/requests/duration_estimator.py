"""How long answers take, learnt from those that came."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalcourse.state.generation import GenerationRequest

MIN_SAMPLES = 10
SMOOTHING = 0.05


@dataclass(slots=True)
class ModelPace:
    """Pace of one model.

    :param token_seconds: time that a token takes.
    :param used_share: share of ``max_tokens`` that answers come to.
    """

    token_seconds: float = 0.0
    used_share: float = 0.0
    samples: int = 0


class DurationEstimator:
    """Estimates the time to a whole answer for each model."""

    def __init__(self) -> None:
        """Begin without knowledge."""
        self._paces_by_model: dict[str, ModelPace] = {}

    def record(
        self,
        request: GenerationRequest,
        generated: int,
        duration: timedelta,
    ) -> None:
        """Learn from an answer that one attempt made as a whole.

        :param generated: tokens of the answer.
        :param duration: time from sending the request to its end.
        """
        if not generated:
            return
        pace = self._paces_by_model.setdefault(request.model, ModelPace())
        pace.samples += 1
        weight = max(SMOOTHING, 1 / pace.samples)
        seconds = duration.total_seconds() / generated
        share = generated / request.max_tokens
        pace.token_seconds += weight * (seconds - pace.token_seconds)
        pace.used_share += weight * (share - pace.used_share)

    def estimate(self, request: GenerationRequest, received: int) -> timedelta:
        """Estimate the time that the rest of an answer takes.

        :param received: tokens that are there already.
        :returns: zero as long as too few answers were seen.
        """
        pace = self._paces_by_model.get(request.model)
        if pace is None or pace.samples < MIN_SAMPLES:
            return timedelta(0)
        left = max(request.max_tokens * pace.used_share - received, 0)
        return timedelta(seconds=pace.token_seconds * left)
