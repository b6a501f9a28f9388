"""Generation requests, their chunks of tokens and their attempts."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta


class TrafficClass(enum.StrEnum):
    """Class of the caller that waits for the response."""

    human = 'human'
    training = 'training'


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A request to generate tokens.

    :param deadline: time since boot at which the caller stops waiting.
    :param seed: random seed that makes the tokens reproducible.
    :param weight_version: weight version to run on, ``None`` for any.
    :param oldest_version: oldest weight version that may be used.
    :param received: tokens that were received already; generation resumes
        after them and returns only the following tokens.
    :param avoid: names of upstreams to use only if there is no other.
    """

    request_id: str
    client_account: str
    traffic_class: TrafficClass
    model: str
    prompt: str
    max_tokens: int
    deadline: timedelta
    seed: int = 0
    adapter: str = ''
    weight_version: int | None = None
    oldest_version: int = 0
    received: tuple[str, ...] = ()
    avoid: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Chunk:
    """Chunk of tokens in an engine's response.

    :param request_id: id of the request that the engine names.
    :param offset: position of the first token in the complete response.
    :param tokens: texts of the tokens.
    :param weight_version: weight version that the engine names.
    :param finish_reason: set on the last chunk only.
    :param prompt_tokens: length of the prompt, set on the last chunk only.
    :param upstream: name of the upstream that sent the chunk.
    """

    request_id: str
    offset: int
    tokens: tuple[str, ...]
    weight_version: int
    finish_reason: str = ''
    prompt_tokens: int = 0
    upstream: str = ''


class AttemptState(enum.StrEnum):
    """Known state of an attempt to run a request on an upstream."""

    not_sent = 'not_sent'
    maybe_sent = 'maybe_sent'
    refused = 'refused'
    running = 'running'
    complete = 'complete'
    broken = 'broken'


NEVER_RAN = frozenset((AttemptState.not_sent, AttemptState.refused))
