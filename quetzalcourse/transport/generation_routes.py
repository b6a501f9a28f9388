"""Routes of ``/v1/completions`` and ``/v1/chat/completions``."""

from __future__ import annotations

from contextlib import aclosing
from datetime import timedelta
from typing import TYPE_CHECKING

from sanic import Request
from sanic import response as sanic_response

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.protocol.callers import (
    ChatBody,
    CompletionBody,
    render_chat,
)
from quetzalcourse.protocol.completions import ResponseFormat, ResponseWriter
from quetzalcourse.protocol.events import END_EVENT, encode_event
from quetzalcourse.protocol.refusals import encode_refusal
from quetzalcourse.state.generation import GenerationRequest, TrafficClass
from quetzalcourse.transport.request_body import allow_streaming, read_body
from quetzalcourse.transport.caller_app import (
    JSON_TYPE,
    authenticate,
    decode_body,
    read_request_id,
)
from quetzalcourse.transport.key_sessions import end_on_withdrawal
from quetzalcourse.transport.response_stream import ResponseStream

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sanic import Sanic
    from sanic.response import HTTPResponse

    from quetzalcourse.coordination.manifest.keys import Identity
    from quetzalcourse.state.generation import Chunk
    from quetzalcourse.transport.caller_app import RouteDependencies


class GenerationRoutes:
    """Serves text and chat completions.

    :param dependencies: components that the routes depend on.
    """

    def __init__(self, app: Sanic, dependencies: RouteDependencies) -> None:
        """Register the routes."""
        self._dependencies = dependencies
        app.add_route(
            allow_streaming(self._complete),
            '/v1/completions',
            methods=['POST'],
            name='complete',
            stream=True,
        )
        app.add_route(
            allow_streaming(self._chat),
            '/v1/chat/completions',
            methods=['POST'],
            name='chat',
            stream=True,
        )

    async def _complete(self, request: Request) -> HTTPResponse | None:
        identity = authenticate(request, self._dependencies.keys)
        content = await read_body(request, self._dependencies.settings.limits)
        body = decode_body(content, CompletionBody)
        generation_request = self._build(request, identity, body, body.prompt)
        return await self._serve(
            request, generation_request, body, ResponseFormat.text
        )

    async def _chat(self, request: Request) -> HTTPResponse | None:
        identity = authenticate(request, self._dependencies.keys)
        content = await read_body(request, self._dependencies.settings.limits)
        body = decode_body(content, ChatBody)
        prompt = render_chat(body.messages)
        generation_request = self._build(request, identity, body, prompt)
        return await self._serve(
            request, generation_request, body, ResponseFormat.chat
        )

    def _build(
        self,
        request: Request,
        identity: Identity,
        body: CompletionBody | ChatBody,
        prompt: str,
    ) -> GenerationRequest:
        write_timeout = timedelta(seconds=body.timeout_seconds)
        return GenerationRequest(
            request_id=read_request_id(request),
            client_account=identity.client_account,
            traffic_class=TrafficClass.human,
            model=body.model,
            prompt=prompt,
            max_tokens=body.max_tokens,
            deadline=self._dependencies.clock.elapsed() + write_timeout,
            seed=body.seed,
            adapter=body.adapter,
            weight_version=body.weight_version,
        )

    async def _serve(
        self,
        request: Request,
        generation_request: GenerationRequest,
        body: CompletionBody | ChatBody,
        response_format: ResponseFormat,
    ) -> HTTPResponse | None:
        created = int(self._dependencies.clock.now().timestamp())
        writer = ResponseWriter(generation_request, response_format, created)
        until_withdrawn = end_on_withdrawal(
            self._dependencies.generation.run(generation_request),
            self._dependencies.keys,
            request.ctx.identity.key_id,
        )
        chunks = self._dependencies.human_service.track_stream(
            generation_request.client_account, until_withdrawn
        )
        with self._dependencies.activity.track():
            async with aclosing(chunks):  # type: ignore[type-var]
                if body.stream:
                    await self._stream(request, writer, chunks)
                    return None
                collected = [chunk async for chunk in chunks]
        return sanic_response.raw(
            writer.encode_whole(collected), content_type=JSON_TYPE
        )

    async def _stream(
        self,
        request: Request,
        writer: ResponseWriter,
        chunks: AsyncIterator[Chunk],
    ) -> None:
        # Waiting for the first chunk before the response starts lets a refusal
        # still set the response status.
        first = await anext(chunks)
        response = await request.respond(content_type='text/event-stream')
        write_timeout = self._dependencies.settings.limits.reader_seconds
        stream = ResponseStream(request, response, write_timeout)
        await stream.send(encode_event(writer.encode_chunk(first)))
        try:
            async for chunk in chunks:
                await stream.send(encode_event(writer.encode_chunk(chunk)))
        except RefusedError as error:
            # A stream that just stopped would look complete to a caller that
            # does not check for the end marker.
            content = encode_refusal(error.refusal, read_request_id(request))
            await stream.send(encode_event(content), last=True)
        else:
            await stream.send(END_EVENT, last=True)
