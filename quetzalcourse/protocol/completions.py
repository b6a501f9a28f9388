"""Answers to completion requests, in OpenAI's published shape."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from quetzalcourse.state.generation import Chunk, GenerationRequest


class ResponseFormat(enum.StrEnum):
    """Which of the two published shapes an answer has."""

    text = 'text_completion'
    chat = 'chat.completion'


class Usage(msgspec.Struct):
    """Tokens of a request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ResponseMessage(msgspec.Struct, omit_defaults=True):
    """Message of a chat answer, whole or as a piece."""

    content: str
    role: str = ''


class Choice(msgspec.Struct, omit_defaults=True):
    """The one choice of an answer."""

    index: int
    finish_reason: str | None
    text: str | None = None
    message: ResponseMessage | None = None
    delta: ResponseMessage | None = None


class CompletionResponse(msgspec.Struct, omit_defaults=True):
    """Answer, whole or one event of a stream.

    :param weight_versions: versions that made the tokens.
    """

    id: str
    object: str
    created: int
    model: str
    choices: list[Choice]
    weight_versions: list[int]
    usage: Usage | None = None


class ResponseWriter:
    """Writes the answers to one request.

    :param request: what the caller asked for.
    :param shape: shape that the caller's path implies.
    :param created: seconds since 1970 at which the request came.
    """

    def __init__(
        self,
        request: GenerationRequest,
        shape: ResponseFormat,
        created: int,
    ) -> None:
        """Keep what is the same in every event."""
        self._request = request
        self._shape = shape
        self._created = created

    def encode_whole(self, chunks: list[Chunk]) -> bytes:
        """Write the answer in one piece."""
        text = ''.join(token for chunk in chunks for token in chunk.tokens)
        generated = sum(len(chunk.tokens) for chunk in chunks)
        prompt_tokens = chunks[-1].prompt_tokens
        choice = Choice(0, chunks[-1].finish_reason)
        if self._shape is ResponseFormat.chat:
            choice.message = ResponseMessage(text, 'assistant')
        else:
            choice.text = text
        versions = sorted({chunk.weight_version for chunk in chunks} - {0})
        usage = Usage(prompt_tokens, generated, prompt_tokens + generated)
        return self._encode(choice, versions, usage, self._shape.value)

    def encode_chunk(self, chunk: Chunk) -> bytes:
        """Write one event of a stream."""
        text = ''.join(chunk.tokens)
        choice = Choice(0, chunk.finish_reason or None)
        kind = self._shape.value
        if self._shape is ResponseFormat.chat:
            role = 'assistant' if chunk.offset == 0 else ''
            choice.delta = ResponseMessage(text, role)
            kind = 'chat.completion.chunk'
        else:
            choice.text = text
        named = [chunk.weight_version] if chunk.weight_version else []
        return self._encode(choice, named, None, kind)

    def _encode(
        self,
        choice: Choice,
        versions: list[int],
        usage: Usage | None,
        kind: str,
    ) -> bytes:
        return msgspec.json.encode(
            CompletionResponse(
                self._request.request_id,
                kind,
                self._created,
                self._request.model,
                [choice],
                versions,
                usage,
            )
        )
