"""Estimates of answer durations, learnt from completed answers."""

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
    """Observed speed of one model.

    :param token_seconds: time per token.
    :param used_share: answer length as a share of ``max_tokens``.
    """

    token_seconds: float = 0.0
    used_share: float = 0.0
    samples: int = 0


class DurationEstimator:
    """Estimates the time to a complete answer for each model."""

    def __init__(self) -> None:
        """Create without observations."""
        self._paces_by_model: dict[str, ModelPace] = {}

    def record(
        self,
        request: GenerationRequest,
        generated: int,
        duration: timedelta,
    ) -> None:
        """Record an answer that a single attempt generated completely.

        :param generated: number of tokens in the answer.
        :param duration: time from sending the request to the end of the answer.
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

        :param received: number of tokens already received.
        :returns: zero as long as too few answers have been recorded.
        """
        pace = self._paces_by_model.get(request.model)
        if pace is None or pace.samples < MIN_SAMPLES:
            return timedelta(0)
        left = max(request.max_tokens * pace.used_share - received, 0)
        return timedelta(seconds=pace.token_seconds * left)
