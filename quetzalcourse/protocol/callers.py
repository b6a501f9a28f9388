"""Messages to and from callers, in OpenAI's published shape and our own."""

from __future__ import annotations

from typing import Annotated

import msgspec

MAX_TOKENS_DEFAULT = 256
MAX_TOKENS_LIMIT = 1_000_000
MAX_TIMEOUT = 86_400.0

TokenLimit = Annotated[int, msgspec.Meta(gt=0, le=MAX_TOKENS_LIMIT)]
TimeoutSeconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_TIMEOUT)]
ModelName = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
STEP_LIMIT = 10**12
SAMPLE_LIMIT = 65536
DEADLINE_LIMIT = 86400


class CompletionBody(msgspec.Struct):
    """Body of ``/v1/completions``.

    :param timeout_seconds: how long the caller waits at most.
    """

    model: ModelName
    prompt: str
    max_tokens: TokenLimit = MAX_TOKENS_DEFAULT
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
    max_tokens: TokenLimit = MAX_TOKENS_DEFAULT
    stream: bool = False
    seed: int = 0
    adapter: str = ''
    weight_version: int | None = None
    timeout_seconds: TimeoutSeconds = 60.0


class StepBody(msgspec.Struct):
    """Body that creates a step.

    :param prompts: a prompt for each group of samples.
    """

    trainer: str
    step: int
    prompts: list[str]
    samples_per_group: int
    weight_version: int
    max_tokens: int = MAX_TOKENS_DEFAULT
    staleness_bound: int | None = None
    deadline_seconds: float = 660.0


class StepResponse(msgspec.Struct):
    """Answer to the creation of a step.

    :param total: samples that make the step whole.
    """

    trainer: str
    step: int
    total: int


class AcknowledgeBody(msgspec.Struct):
    """Body that acknowledges the batches before a cursor."""

    cursor: int


def render_chat(messages: list[ChatMessage]) -> str:
    """Write a chat as the prompt that engines run."""
    lines = [f'{message.role}: {message.content}' for message in messages]
    lines.append('assistant:')
    return '\n'.join(lines)


def find_step_faults(body: StepBody) -> list[str]:
    """List what is wrong with a step that a trainer asked for."""
    rules = (
        (body.step >= 0, 'step: must not be negative'),
        (body.step < STEP_LIMIT, f'step: must be below {STEP_LIMIT}'),
        (bool(body.prompts), 'prompts: must not be empty'),
        (body.samples_per_group > 0, 'samples_per_group: must be above 0'),
        (
            len(body.prompts) * body.samples_per_group <= SAMPLE_LIMIT,
            f'samples_per_group: at most {SAMPLE_LIMIT} samples a step',
        ),
        (body.max_tokens > 0, 'max_tokens: must be above 0'),
        (body.weight_version >= 0, 'weight_version: must not be negative'),
        (
            body.staleness_bound is None or body.staleness_bound >= 0,
            'staleness_bound: must not be negative',
        ),
        (
            0 < body.deadline_seconds <= DEADLINE_LIMIT,
            f'deadline_seconds: must be above 0 and up to {DEADLINE_LIMIT}',
        ),
    )
    return [fault for holds, fault in rules if not holds]
