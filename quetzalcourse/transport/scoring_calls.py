"""Scoring calls to upstreams of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.scoring import (
    ScoringOutcome,
    ScoringState,
)
from quetzalcourse.log import get_log
from quetzalcourse.state.calls import ResponseOutcome, AttemptMetadata
from quetzalcourse.transport.upstream_calls import (
    CallLostError,
    LostState,
    read_pieces,
)

if TYPE_CHECKING:
    from datetime import timedelta

    import aiohttp

    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.state.batches import ScoringCall
    from quetzalcourse.transport.dialect import UpstreamDialect
    from quetzalcourse.transport.upstream_calls import UpstreamCalls
    from quetzalcourse.transport.upstream_ends import UpstreamEnds

log = get_log('scoring')


class ScoringCalls:
    """Makes scoring calls over the connections that requests share."""

    def __init__(
        self,
        calls: UpstreamCalls,
        dialect: UpstreamDialect,
        pool: Pool,
        ends: UpstreamEnds,
    ) -> None:
        """Keep the parts."""
        self._calls = calls
        self._dialect = dialect
        self._pool = pool
        self._ends = ends

    async def score(
        self,
        call: ScoringCall,
        fingerprint: str,
        upstream: Upstream,
        timeout: timedelta,
    ) -> ScoringOutcome:
        """Make a call once and judge its answer."""
        terms = AttemptMetadata(upstream.name, '', timeout)
        try:
            async with self._calls.open(
                upstream.member.address,
                'POST',
                call.path,
                self._dialect.write_scoring(call, terms),
                call.body,
                timeout,
            ) as answer:
                return await self._judge(call, upstream, answer, timeout)
        except CallLostError as error:
            reason = error.state.value
            if error.state is LostState.late:
                self._pool.on_timeout(upstream)
                return ScoringOutcome(ScoringState.late, reason=reason)
            self._pool.on_failure(upstream, reason)
            if error.state is LostState.unanswered:
                await self._ends.on_broken(upstream, call.id, fingerprint)
            return ScoringOutcome(ScoringState.lost, reason=reason)

    async def _judge(
        self,
        call: ScoringCall,
        upstream: Upstream,
        answer: aiohttp.ClientResponse,
        timeout: timedelta,
    ) -> ScoringOutcome:
        marks = self._dialect.read_answer(
            call.id, answer.status, answer.headers
        )
        self._pool.on_load(upstream, marks.load)
        reason = f'status {answer.status}'
        if marks.state is ResponseOutcome.not_run:
            self._pool.on_model_refused(upstream, '')
            return ScoringOutcome(ScoringState.not_run, reason=reason)
        if marks.state is ResponseOutcome.foreign:
            self._pool.on_failure(upstream, 'foreign answer')
            return ScoringOutcome(ScoringState.lost, reason='foreign answer')
        # An answer that breaks off counts for nothing, so its body is read
        # to the end though nobody wants it.
        pieces = [piece async for piece in read_pieces(answer, timeout)]
        if marks.state is ResponseOutcome.failed:
            return ScoringOutcome(ScoringState.failed, reason=reason)
        if marks.state is not ResponseOutcome.served:
            return ScoringOutcome(ScoringState.lost, reason=reason)
        if not marks.stamp:
            return ScoringOutcome(ScoringState.lost, reason='no stamp')
        self._pool.on_success(upstream)
        log.debug('Score came.', call=call.id, pieces=len(pieces))
        return ScoringOutcome(ScoringState.scored, marks.stamp)
