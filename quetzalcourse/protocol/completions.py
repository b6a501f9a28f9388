"""Responses to completion requests, in OpenAI's API format."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from quetzalcourse.state.generation import Chunk, GenerationRequest


class ResponseFormat(enum.StrEnum):
    """Response format: text completion or chat completion."""

    text = 'text_completion'
    chat = 'chat.completion'


class Usage(msgspec.Struct):
    """Token counts of a request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ResponseMessage(msgspec.Struct, omit_defaults=True):
    """Message of a chat response, complete or as a delta."""

    content: str
    role: str = ''


class Choice(msgspec.Struct, omit_defaults=True):
    """The only choice of a response."""

    index: int
    finish_reason: str | None
    text: str | None = None
    message: ResponseMessage | None = None
    delta: ResponseMessage | None = None


class CompletionResponse(msgspec.Struct, omit_defaults=True):
    """Complete response, or one event of a stream.

    :param weight_versions: weight versions that generated the tokens.
    """

    id: str
    object: str
    created: int
    model: str
    choices: list[Choice]
    weight_versions: list[int]
    usage: Usage | None = None


class ResponseWriter:
    """Encodes the responses to one request.

    :param request: the caller's request.
    :param response_format: format that the request path implies.
    :param created: time of the request in seconds since the Unix epoch.
    """

    def __init__(
        self,
        request: GenerationRequest,
        response_format: ResponseFormat,
        created: int,
    ) -> None:
        """Store the fields that every event shares."""
        self._request = request
        self._response_format = response_format
        self._created = created

    def encode_whole(self, chunks: list[Chunk]) -> bytes:
        """Encode the complete response."""
        text = ''.join(token for chunk in chunks for token in chunk.tokens)
        generated = sum(len(chunk.tokens) for chunk in chunks)
        prompt_tokens = chunks[-1].prompt_tokens
        choice = Choice(0, chunks[-1].finish_reason)
        if self._response_format is ResponseFormat.chat:
            choice.message = ResponseMessage(text, 'assistant')
        else:
            choice.text = text
        versions = sorted({chunk.weight_version for chunk in chunks} - {0})
        usage = Usage(prompt_tokens, generated, prompt_tokens + generated)
        return self._encode(
            choice, versions, usage, self._response_format.value
        )

    def encode_chunk(self, chunk: Chunk) -> bytes:
        """Encode one event of a stream."""
        text = ''.join(chunk.tokens)
        choice = Choice(0, chunk.finish_reason or None)
        kind = self._response_format.value
        if self._response_format is ResponseFormat.chat:
            role = 'assistant' if chunk.offset == 0 else ''
            choice.delta = ResponseMessage(text, role)
            kind = 'chat.completion.chunk'
        else:
            choice.text = text
        versions = [chunk.weight_version] if chunk.weight_version else []
        return self._encode(choice, versions, None, kind)

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
