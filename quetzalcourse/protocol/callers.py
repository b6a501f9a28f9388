"""Messages of callers: OpenAI's API format, and steps of trainers."""

from __future__ import annotations

from typing import Annotated

import msgspec

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 1_000_000
MAX_TIMEOUT_SECONDS = 86_400.0

TokenLimit = Annotated[int, msgspec.Meta(gt=0, le=MAX_TOKENS_LIMIT)]
TimeoutSeconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_TIMEOUT_SECONDS)]
ModelName = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
STEP_NUMBER_LIMIT = 10**12
MAX_SAMPLES_PER_STEP = 65536
MAX_DEADLINE_SECONDS = 86400


class CompletionBody(msgspec.Struct):
    """Body of ``/v1/completions``.

    :param timeout_seconds: maximum time that the caller waits.
    """

    model: ModelName
    prompt: str
    max_tokens: TokenLimit = DEFAULT_MAX_TOKENS
    stream: bool = False
    seed: int = 0
    adapter: str = ''
    weight_version: int | None = None
    timeout_seconds: TimeoutSeconds = 60.0


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct):
    """Body of ``/v1/chat/completions``."""

    model: ModelName
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: TokenLimit = DEFAULT_MAX_TOKENS
    stream: bool = False
    seed: int = 0
    adapter: str = ''
    weight_version: int | None = None
    timeout_seconds: TimeoutSeconds = 60.0


class StepBody(msgspec.Struct):
    """Request body that creates a step.

    :param prompts: one prompt per group of samples.
    """

    trainer: str
    step: int
    prompts: list[str]
    samples_per_group: int
    weight_version: int
    max_tokens: int = DEFAULT_MAX_TOKENS
    staleness_bound: int | None = None
    deadline_seconds: float = 660.0


class StepResponse(msgspec.Struct):
    """Response to the creation of a step.

    :param total: number of samples of the complete step.
    """

    trainer: str
    step: int
    total: int


class AcknowledgeBody(msgspec.Struct):
    """Request body that acknowledges the batches before a cursor."""

    cursor: int


def render_chat(messages: list[ChatMessage]) -> str:
    """Render a chat as a prompt for engines."""
    lines = [f'{message.role}: {message.content}' for message in messages]
    lines.append('assistant:')
    return '\n'.join(lines)


def find_step_faults(body: StepBody) -> list[str]:
    """Validate a step and list its faults."""
    rules = (
        (body.step >= 0, 'step: must not be negative'),
        (
            body.step < STEP_NUMBER_LIMIT,
            f'step: must be below {STEP_NUMBER_LIMIT}',
        ),
        (bool(body.prompts), 'prompts: must not be empty'),
        (body.samples_per_group > 0, 'samples_per_group: must be above 0'),
        (
            len(body.prompts) * body.samples_per_group <= MAX_SAMPLES_PER_STEP,
            f'samples_per_group: at most {MAX_SAMPLES_PER_STEP} samples a step',
        ),
        (body.max_tokens > 0, 'max_tokens: must be above 0'),
        (body.weight_version >= 0, 'weight_version: must not be negative'),
        (
            body.staleness_bound is None or body.staleness_bound >= 0,
            'staleness_bound: must not be negative',
        ),
        (
            0 < body.deadline_seconds <= MAX_DEADLINE_SECONDS,
            'deadline_seconds: must be above 0 and '
            f'up to {MAX_DEADLINE_SECONDS}',
        ),
    )
    return [fault for holds, fault in rules if not holds]
