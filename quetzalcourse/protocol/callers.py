"""Messages to and from callers, in OpenAI's published shape and our own."""

from __future__ import annotations

from typing import Annotated

import msgspec

MAX_TOKENS_DEFAULT = 256
MAX_TOKENS_LIMIT = 1_000_000
LONGEST_TIMEOUT = 86_400.0

TokenLimit = Annotated[int, msgspec.Meta(gt=0, le=MAX_TOKENS_LIMIT)]
TimeoutSeconds = Annotated[float, msgspec.Meta(gt=0, le=LONGEST_TIMEOUT)]
ModelName = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


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


class AcknowledgeBody(msgspec.Struct):
    """Body that acknowledges the batches before a cursor."""

    cursor: int


def render_chat(messages: list[ChatMessage]) -> str:
    """Write a chat as the prompt that engines run."""
    lines = [f'{message.role}: {message.content}' for message in messages]
    lines.append('assistant:')
    return '\n'.join(lines)
