"""Scoring: each sample is scored once before it is committed."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from quetzalcourse.coordination.steps.step_rows import (
    build_claims_prefix,
    decode,
    encode,
)
from quetzalcourse.coordination.table_scan import scan_all
from quetzalcourse.state.rows import FaultKind
from quetzalcourse.state.steps import SampleKey

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.coordination.ports import Scorer, Table
    from quetzalcourse.coordination.steps.fenced_writer import FencedWriter
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.rows import StoreFault
    from quetzalcourse.state.steps import Sample, StepSpec

MAX_CONCURRENT_CALLS = 32
INITIAL_BACKOFF = timedelta(milliseconds=500)
MAX_BACKOFF = timedelta(seconds=15)
TEXT_DIGEST_LENGTH = 16


class StepScoring:
    """Scores the samples of one step.

    A call that may not be repeated is claimed in the table first. A lease
    holder that finds a claim without a committed sample can't know whether
    the call was made. It generates the sample again with another seed, so
    that the call for the old text is never sent a second time.

    :param writer: writes under the lease on the step.
    """

    def __init__(
        self,
        table: Table,
        writer: FencedWriter,
        scorer: Scorer,
        clock: Clock,
        counters: Counters,
        spec: StepSpec,
    ) -> None:
        """Start without loaded claims."""
        self.claims: Counter[SampleKey] = Counter()
        self._table = table
        self._writer = writer
        self._scorer = scorer
        self._clock = clock
        self._counters = counters
        self._spec = spec
        self._claim_rows = 0
        self._call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def load(self) -> Result[None, StoreFault]:
        """Load the claims of earlier lease holders."""
        if self._spec.scoring_repeatable:
            return Ok(None)
        prefix = build_claims_prefix(self._spec.trainer, self._spec.step)
        answer = await scan_all(self._table, prefix)
        if isinstance(answer, Err):
            return answer
        for row in answer.ok_value:
            self.claims.update(decode(row, list[SampleKey]))
        self._claim_rows = len(answer.ok_value)
        return Ok(None)

    async def claim(self, samples: Sequence[Sample]) -> None:
        """Record that these samples are about to be scored.

        :raises StepLeaseLostError: if another daemon took over the lease.
        """
        if self._spec.scoring_repeatable:
            return
        prefix = build_claims_prefix(self._spec.trainer, self._spec.step)
        keys = [sample.key for sample in samples]
        await self._writer.insert(
            f'{prefix}{self._claim_rows:08d}', encode(keys)
        )
        self._claim_rows += 1
        self.claims.update(keys)

    async def score(self, sample: Sample, attempt: int) -> Sample | None:
        """Score a sample, retrying for as long as the service is down.

        :param attempt: number of earlier attempts at the sample.
        :returns: the sample with its score, or ``None`` if the call may
            have been made and may not be repeated.
        """
        name = self._build_call_name(sample, attempt)
        backoff = INITIAL_BACKOFF
        while True:
            async with self._call_slots:
                answer = await self._scorer.score(name, sample.text)
            if isinstance(answer, Ok):
                return replace(sample, score=answer.ok_value)
            self._counters.add('scorings_failed', kind=answer.err_value.value)
            may_have_run = answer.err_value is FaultKind.unanswered
            if may_have_run and not self._spec.scoring_repeatable:
                return None
            await self._clock.sleep(backoff)
            backoff = min(backoff * 2, MAX_BACKOFF)

    def _build_call_name(self, sample: Sample, attempt: int) -> str:
        # The name includes a hash of the text: a service that deduplicates
        # calls by name would return the score of the old text for a
        # regenerated sample.
        digest = hashlib.sha256(sample.text.encode()).hexdigest()
        spec = self._spec
        sample_path = (
            f'{spec.trainer}/{spec.step}/{sample.group}/{sample.index}'
        )
        return f'{sample_path}/{attempt}/{digest[:TEXT_DIGEST_LENGTH]}'
