"""Registry of the created steps in the store of the platform."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from quetzalcourse.coordination.steps.step_rows import (
    build_delivery_key,
    build_open_key,
    build_prompts_name,
    build_step_key,
    decode,
    encode,
    refuse_store_unavailable,
    refuse_unknown_step,
)
from quetzalcourse.state.decoding import decode_json
from quetzalcourse.state.rows import ABSENT, Condition, Transaction, Write
from quetzalcourse.state.steps import DeliveryRecord, RunReport, StepSpec

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import ObjectStore, Table
    from quetzalcourse.state.refusal import Refusal
    from quetzalcourse.state.rows import TransactionResult, StoreFault

MAX_CACHED_STEPS = 1024


class StepRegistry:
    """Writes and reads steps and their prompts.

    :param objects: object store of the prompts, by hash.
    """

    def __init__(self, table: Table, objects: ObjectStore) -> None:
        """Start with an empty cache."""
        self._table = table
        self._objects = objects
        self._specs: OrderedDict[str, StepSpec] = OrderedDict()

    async def get(
        self,
        trainer: str,
        step: int,
    ) -> Result[StepSpec, Refusal]:
        """Read a step, which never changes after its creation."""
        key = build_step_key(trainer, step)
        cached = self._specs.get(key)
        if cached is not None:
            return Ok(cached)
        answer = await self._table.read(key)
        if isinstance(answer, Err):
            return Err(refuse_store_unavailable(answer.err_value))
        if answer.ok_value is None:
            return Err(refuse_unknown_step(trainer, step))
        spec = decode(answer.ok_value, StepSpec)
        self._specs[key] = spec
        if len(self._specs) > MAX_CACHED_STEPS:
            self._specs.popitem(last=False)
        return Ok(spec)

    async def put_prompts(
        self,
        spec: StepSpec,
        prompts: tuple[str, ...],
    ) -> Result[StepSpec, StoreFault]:
        """Store the prompts of a step.

        :returns: the step with the name of its prompts object.
        """
        content = encode(prompts)
        name = build_prompts_name(content)
        stored = await self._objects.put(name, content)
        return stored.map(lambda _: replace(spec, prompts_name=name))

    async def get_prompts(self, spec: StepSpec) -> tuple[str, ...] | None:
        """Read the prompts of a step, ``None`` if they are unavailable."""
        answer = await self._objects.get(spec.prompts_name)
        if isinstance(answer, Err) or answer.ok_value is None:
            return None
        return decode_json(answer.ok_value, tuple[str, ...])

    async def insert(
        self, spec: StepSpec
    ) -> Result[TransactionResult, StoreFault]:
        """Insert the rows of a step, unless its number exists already."""
        trainer, step = spec.trainer, spec.step
        key = build_step_key(trainer, step)
        return await self._table.transact(
            Transaction(
                (Condition(key, ABSENT),),
                (
                    Write(key, encode(spec)),
                    Write(
                        build_delivery_key(trainer, step),
                        encode(DeliveryRecord()),
                    ),
                    Write(build_open_key(trainer, step), encode(RunReport())),
                ),
            )
        )
