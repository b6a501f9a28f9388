"""Requests for generated tokens, their pieces and their attempts."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta


class TrafficClass(enum.StrEnum):
    """Who waits for the answer."""

    human = 'human'
    training = 'training'


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A request for tokens.

    :param deadline: time since boot at which the caller stops waiting.
    :param seed: makes the tokens repeatable.
    :param weight_version: version to run on, or ``None`` for any.
    :param oldest_version: versions below it are too stale to be used.
    :param received: tokens that are there already; generation goes on
        behind them and yields only what follows.
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
    """Tokens that an engine sent together.

    :param request_id: request that the engine says they answer.
    :param offset: position of the first token in the whole answer.
    :param tokens: texts of the tokens.
    :param weight_version: version that made them, as the engine named it.
    :param finish_reason: set on the last chunk only.
    :param prompt_tokens: length of the prompt, known on the last chunk.
    :param upstream: name of the upstream that the chunk came from.
    """

    request_id: str
    offset: int
    tokens: tuple[str, ...]
    weight_version: int
    finish_reason: str = ''
    prompt_tokens: int = 0
    upstream: str = ''


class AttemptState(enum.StrEnum):
    """What is known of one attempt to run a request on an upstream."""

    not_sent = 'not_sent'
    maybe_sent = 'maybe_sent'
    refused = 'refused'
    running = 'running'
    complete = 'complete'
    broken = 'broken'


NEVER_RAN = frozenset((AttemptState.not_sent, AttemptState.refused))
