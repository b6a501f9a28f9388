"""The steps that were created, as the platform keeps them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from quetzalcourse.coordination.steps.step_rows import (
    decode,
    encode,
    name_delivery,
    name_open,
    name_prompts,
    name_step,
    refuse_store,
    refuse_unknown,
)
from quetzalcourse.state.rows import ABSENT, Condition, Transaction, Write
from quetzalcourse.state.steps import DeliveryRecord, RunReport, StepSpec

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import Objects, Table
    from quetzalcourse.state.refusal import Refusal
    from quetzalcourse.state.rows import TransactionResult, StoreFault

REMEMBERED_STEPS = 1024


class StepDirectory:
    """Writes and reads steps and their prompts.

    :param objects: holds the prompts, under their hash.
    """

    def __init__(self, table: Table, objects: Objects) -> None:
        """Begin without a remembered step."""
        self._table = table
        self._objects = objects
        self._specs: OrderedDict[str, StepSpec] = OrderedDict()

    async def find(
        self,
        trainer: str,
        step: int,
    ) -> Result[StepSpec, Refusal]:
        """Read a step, which never changes once it was created."""
        key = name_step(trainer, step)
        known = self._specs.get(key)
        if known is not None:
            return Ok(known)
        answer = await self._table.read(key)
        if isinstance(answer, Err):
            return Err(refuse_store(answer.err_value))
        if answer.ok_value is None:
            return Err(refuse_unknown(trainer, step))
        spec = decode(answer.ok_value, StepSpec)
        self._specs[key] = spec
        if len(self._specs) > REMEMBERED_STEPS:
            self._specs.popitem(last=False)
        return Ok(spec)

    async def put_prompts(
        self,
        spec: StepSpec,
        prompts: tuple[str, ...],
    ) -> Result[StepSpec, StoreFault]:
        """Store the prompts of a step.

        :returns: the step with the name of its prompts.
        """
        content = encode(prompts)
        name = name_prompts(content)
        stored = await self._objects.put(name, content)
        return stored.map(lambda _: replace(spec, prompts_name=name))

    async def get_prompts(self, spec: StepSpec) -> tuple[str, ...] | None:
        """Read the prompts of a step, ``None`` if they can't be read now."""
        answer = await self._objects.get(spec.prompts_name)
        if isinstance(answer, Err) or answer.ok_value is None:
            return None
        return msgspec.json.decode(answer.ok_value, type=tuple[str, ...])

    async def write(
        self, spec: StepSpec
    ) -> Result[TransactionResult, StoreFault]:
        """Write the rows of a step, if there is none of its number."""
        trainer, step = spec.trainer, spec.step
        key = name_step(trainer, step)
        return await self._table.transact(
            Transaction(
                (Condition(key, ABSENT),),
                (
                    Write(key, encode(spec)),
                    Write(
                        name_delivery(trainer, step), encode(DeliveryRecord())
                    ),
                    Write(name_open(trainer, step), encode(RunReport())),
                ),
            )
        )
