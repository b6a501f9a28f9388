"""Routes of ``/v1/steps`` for trainers."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeVar

import msgspec
from result import Err, Result
from sanic import Request
from sanic import response as sanic_response

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.protocol.callers import (
    AcknowledgeBody,
    StepResponse,
    StepBody,
    find_step_faults,
)
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.state.steps import StepSpec
from quetzalcourse.transport.request_body import allow_streaming, read_body
from quetzalcourse.transport.caller_app import (
    JSON_TYPE,
    authenticate,
    decode_body,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from sanic import Sanic
    from sanic.response import HTTPResponse

    from quetzalcourse.state.manifest import Trainer
    from quetzalcourse.transport.caller_app import RouteDependencies

Found = TypeVar('Found')
STEP_PATH = '/v1/steps/<trainer:str>/<step:int>'


class StepRoutes:
    """Serves the steps of trainers.

    :param dependencies: components that the routes depend on.
    """

    def __init__(self, app: Sanic, dependencies: RouteDependencies) -> None:
        """Register the routes."""
        self._dependencies = dependencies
        self._steps = dependencies.steps
        app.add_route(
            allow_streaming(self._create),
            '/v1/steps',
            methods=['POST'],
            name='create_step',
            stream=True,
        )
        app.add_route(self._observe, STEP_PATH, methods=['GET'])
        app.add_route(self._cancel, STEP_PATH, methods=['DELETE'])
        app.add_route(self._read, f'{STEP_PATH}/samples', methods=['GET'])
        app.add_route(
            allow_streaming(self._acknowledge),
            f'{STEP_PATH}/acknowledge',
            methods=['POST'],
            name='acknowledge',
            stream=True,
        )

    async def _create(self, request: Request) -> HTTPResponse:
        content = await read_body(request, self._dependencies.settings.limits)
        body = decode_body(content, StepBody)
        trainer = self._find_trainer(request, body.trainer)
        faults = find_step_faults(body)
        if faults:
            raise RefusedError(
                Refusal(
                    RefusalCode.invalid_body,
                    '; '.join(faults),
                    not_run=True,
                    step='read body',
                )
            )
        spec = self._build_spec(body, trainer)
        created = self._steps.create(spec, tuple(body.prompts))
        await self._wait(created)
        return encode_answer(StepResponse(spec.trainer, spec.step, spec.total))

    async def _observe(
        self,
        request: Request,
        trainer: str,
        step: int,
    ) -> HTTPResponse:
        self._find_trainer(request, trainer)
        return encode_answer(
            await self._wait(self._steps.get_progress(trainer, step))
        )

    async def _cancel(
        self,
        request: Request,
        trainer: str,
        step: int,
    ) -> HTTPResponse:
        self._find_trainer(request, trainer)
        return encode_answer(
            await self._wait(self._steps.cancel(trainer, step))
        )

    async def _read(
        self,
        request: Request,
        trainer: str,
        step: int,
    ) -> HTTPResponse:
        self._find_trainer(request, trainer)
        cursor = read_cursor(request.args.get('cursor', '0'))
        batches = await self._wait(self._steps.read(trainer, step, cursor))
        return encode_answer({'batches': batches})

    async def _acknowledge(
        self,
        request: Request,
        trainer: str,
        step: int,
    ) -> HTTPResponse:
        self._find_trainer(request, trainer)
        content = await read_body(request, self._dependencies.settings.limits)
        body = decode_body(content, AcknowledgeBody)
        acknowledged = self._steps.acknowledge(trainer, step, body.cursor)
        return encode_answer(await self._wait(acknowledged))

    async def _wait(self, work: Awaitable[Result[Found, Refusal]]) -> Found:
        with self._dependencies.activity.track():
            result = await work
        if isinstance(result, Err):
            raise RefusedError(result.err_value)
        return result.ok_value

    def _build_spec(self, body: StepBody, trainer: Trainer) -> StepSpec:
        bound = trainer.staleness_bound
        if body.staleness_bound is not None:
            bound = min(bound, body.staleness_bound)
        return StepSpec(
            trainer=trainer.name,
            step=body.step,
            client_account=trainer.client_account,
            model=trainer.model,
            prompts_name='',
            groups=len(body.prompts),
            samples_per_group=body.samples_per_group,
            max_tokens=body.max_tokens,
            weight_version=body.weight_version,
            staleness_bound=bound,
            deadline_seconds=body.deadline_seconds,
            body_digest=hash_body(body),
            created=self._dependencies.clock.now(),
            scored=trainer.scored,
            scoring_repeatable=trainer.scoring_repeatable,
        )

    def _find_trainer(self, request: Request, name: str) -> Trainer:
        identity = authenticate(request, self._dependencies.keys)
        trainer = self._dependencies.manifest.current.trainers.get(name)
        if trainer is None:
            raise RefusedError(
                _refuse(RefusalCode.not_found, f'No trainer {name!r}.')
            )
        if trainer.client_account != identity.client_account:
            message = 'The trainer belongs to another client account.'
            raise RefusedError(_refuse(RefusalCode.forbidden, message))
        return trainer


def hash_body(body: StepBody) -> str:
    """Hash a step request, to distinguish a retry from a conflict."""
    return hashlib.sha256(msgspec.json.encode(body)).hexdigest()


def read_cursor(text: str) -> int:
    """Parse the cursor of a query.

    :raises RefusedError: if it is not a non-negative integer.
    """
    if text.isascii() and text.isdigit():
        return int(text)
    raise RefusedError(
        Refusal(
            RefusalCode.invalid_body,
            f'Cursor {text!r} is no whole number from 0 on.',
            not_run=True,
            step='read cursor',
        )
    )


def encode_answer(message: object) -> HTTPResponse:
    """Build a JSON response."""
    return sanic_response.raw(
        msgspec.json.encode(message), content_type=JSON_TYPE
    )


def _refuse(code: RefusalCode, message: str) -> Refusal:
    return Refusal(code, message, not_run=True, step='find trainer')
