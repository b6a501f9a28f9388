"""Messages of the engines' API."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.state import engines
from quetzalcourse.state.decoding import MalformedMessageError, decode_json
from quetzalcourse.state.generation import Chunk

if TYPE_CHECKING:
    from quetzalcourse.state.generation import GenerationRequest


class EngineRequest(msgspec.Struct):
    """Generation request.

    :param resume_tokens: tokens already generated, to resume after.
    :param timeout_seconds: time after which the caller stops waiting.
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
    """Tokens that an engine sends in one event."""

    request_id: str
    offset: int
    tokens: list[str]
    weight_version: int = 0
    finish_reason: str = ''
    prompt_tokens: int = 0


class EngineRefusal(msgspec.Struct):
    """Refusal of a request that the engine did not start."""

    reason: str


class LoadReport(msgspec.Struct):
    """Load of an engine as of its latest report, so slightly out of date."""

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

    :param sequence: incremented by one per event; a gap means lost events.
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
    :param sender: incarnation id of the sender, for the engine's logs.
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
    """Build an engine's request; it never contains a caller's key.

    :param tokens: tokens already generated.
    :param timeout_seconds: time left until the caller's deadline.
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
    """Parse a refusal by the engine itself, ``None`` for any other body.

    A gateway in front of an engine also returns errors, possibly after the
    engine has started; only a refusal in the engine's own format proves that
    nothing ran.
    """
    try:
        return decode_json(content, EngineRefusal)
    except MalformedMessageError:
        return None


def parse_chunk(content: bytes, upstream: str) -> Chunk:
    """Parse one chunk of an engine's stream.

    :param upstream: name of the engine.
    """
    message = decode_json(content, EngineChunk)
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
    """Build an engine's order message."""
    return EngineOrder(
        order.order_id,
        order.token,
        order.kind.value,
        order.name,
        order.version,
        sender,
    )


def read_report(message: LoadReport) -> engines.EngineReport:
    """Convert an engine's load report."""
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
    """Convert a change of an engine's prefix cache."""
    stored = message.kind == 'stored'
    return engines.CacheChange(message.sequence, stored, message.prefix)
