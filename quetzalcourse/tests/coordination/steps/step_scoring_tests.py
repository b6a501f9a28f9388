"""Tests of the claims of scoring calls that may not be repeated."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from quetzalcourse.coordination.steps.scoring import StepScoring
from quetzalcourse.coordination.steps.step_rows import (
    build_claims_prefix,
    encode,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.rows import Transaction, Write
from quetzalcourse.state.steps import SampleKey
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.step_simulation import build_spec
from quetzalcourse.tests.tables import FakeStore

# Size of a step to design for.
SAMPLES = 1024


async def test_claims_of_a_large_step_are_all_loaded() -> None:
    # Guards against a scoring call that is made twice because its claim stands
    # behind the rows that the store returns at once.
    store = FakeStore()
    spec = replace(build_spec(), scored=True, scoring_repeatable=False)
    prefix = build_claims_prefix(spec.trainer, spec.step)
    keys = [SampleKey(number, 0) for number in range(SAMPLES)]
    writes = tuple(
        Write(f'{prefix}{key.group:08d}', encode([key])) for key in keys
    )
    await store.transact(Transaction((), writes))
    none: Any = None
    scoring = StepScoring(store, none, none, FakeClock(), Counters(), spec)
    assert (await scoring.load()).is_ok()
    assert list(scoring.claims) == keys
