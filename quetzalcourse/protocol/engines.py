"""Messages to and from engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.state import engines
from quetzalcourse.state.generation import Chunk

if TYPE_CHECKING:
    from quetzalcourse.state.generation import GenerationRequest


class EngineRequest(msgspec.Struct):
    """Request for tokens.

    :param resume_tokens: tokens already generated, to go on behind them.
    :param timeout_seconds: time after which nobody waits for the answer.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    seed: int
    adapter: str = ''
    weight_version: int | None = None
    resume_tokens: list[str] = msgspec.field(default_factory=list)
    timeout_seconds: float | None = None


class EngineChunk(msgspec.Struct):
    """Tokens that an engine sends together."""

    request_id: str
    offset: int
    tokens: list[str]
    weight_version: int = 0
    finish_reason: str = ''
    prompt_tokens: int = 0


class EngineRefusal(msgspec.Struct):
    """Refusal of an engine before it ran anything."""

    reason: str


class LoadReport(msgspec.Struct):
    """Load of an engine, as it was a little while ago."""

    slots: int
    running: int
    queued: int
    weight_version: int
    models: list[str]
    adapters: list[str]
    role: str = ''
    leaving: bool = False


class CacheEvent(msgspec.Struct):
    """Change of an engine's prefix cache.

    :param sequence: grows by one an event; a gap means lost events.
    :param kind: ``stored`` or ``evicted``.
    """

    sequence: int
    kind: str
    prefix: str


class EngineOrder(msgspec.Struct):
    """Order to an engine.

    :param order_id: idempotency key.
    :param token: fencing token of the sender's lease.
    :param kind: ``load_version``, ``load_model``, ``load_adapter``, ``role``.
    :param sender: incarnation that sent it, for the records.
    """

    order_id: str
    token: int
    kind: str
    name: str
    version: int = 0
    sender: str = ''


def build_request(
    request: GenerationRequest,
    tokens: tuple[str, ...],
    timeout_seconds: float | None = None,
) -> EngineRequest:
    """Write a request as an engine expects it; no caller's key is in it.

    :param tokens: tokens already generated.
    :param timeout_seconds: what is left of the caller's deadline.
    """
    return EngineRequest(
        request_id=request.request_id,
        model=request.model,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        seed=request.seed,
        adapter=request.adapter,
        weight_version=request.weight_version,
        resume_tokens=list(tokens),
        timeout_seconds=timeout_seconds,
    )


def parse_refusal(content: bytes) -> EngineRefusal | None:
    """Read an engine's own refusal, ``None`` if the body is none.

    A gateway in front of an engine answers errors as well, after the
    engine may have begun; only the engine's own words count.
    """
    try:
        return msgspec.json.decode(content, type=EngineRefusal)
    except msgspec.DecodeError:
        return None


def parse_chunk(content: bytes, upstream: str) -> Chunk:
    """Read one chunk of an engine's stream.

    :param upstream: name of the engine.
    """
    message = msgspec.json.decode(content, type=EngineChunk)
    return Chunk(
        request_id=message.request_id,
        offset=message.offset,
        tokens=tuple(message.tokens),
        weight_version=message.weight_version,
        finish_reason=message.finish_reason,
        prompt_tokens=message.prompt_tokens,
        upstream=upstream,
    )


def build_order(order: engines.EngineOrder, sender: str) -> EngineOrder:
    """Write an order as an engine expects it."""
    return EngineOrder(
        order.order_id,
        order.token,
        order.kind.value,
        order.name,
        order.version,
        sender,
    )


def read_report(message: LoadReport) -> engines.EngineReport:
    """Read an engine's report of itself."""
    return engines.EngineReport(
        message.slots,
        message.running,
        message.queued,
        message.weight_version,
        tuple(message.models),
        tuple(message.adapters),
        message.role,
        message.leaving,
    )


def read_change(message: CacheEvent) -> engines.CacheChange:
    """Read a change of an engine's prefix cache."""
    stored = message.kind == 'stored'
    return engines.CacheChange(message.sequence, stored, message.prefix)
