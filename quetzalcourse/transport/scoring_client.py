"""HTTP client for scoring calls to upstreams of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.scoring import (
    ScoringOutcome,
    ScoringState,
)
from quetzalcourse.log import get_log
from quetzalcourse.state.calls import ResponseOutcome, AttemptMetadata
from quetzalcourse.transport.response_body import MAX_BODY_BYTES
from quetzalcourse.transport.upstream_client import (
    CallFailedError,
    CallFailure,
    read_chunks,
)

if TYPE_CHECKING:
    from datetime import timedelta

    import aiohttp

    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.state.batches import ScoringCall
    from quetzalcourse.transport.dialect import UpstreamDialect
    from quetzalcourse.transport.upstream_client import UpstreamClient
    from quetzalcourse.transport.crash_detector import CrashDetector

log = get_log('scoring')


class ScoringClient:
    """Makes scoring calls over the shared upstream connections."""

    def __init__(
        self,
        client: UpstreamClient,
        dialect: UpstreamDialect,
        pool: Pool,
        crash_detector: CrashDetector,
    ) -> None:
        """Store the collaborators."""
        self._client = client
        self._dialect = dialect
        self._pool = pool
        self._crash_detector = crash_detector

    async def score(
        self,
        call: ScoringCall,
        fingerprint: str,
        upstream: Upstream,
        timeout: timedelta,
    ) -> ScoringOutcome:
        """Make one scoring call without retries.

        :param timeout: time to wait for the head, and between chunks.
        """
        metadata = AttemptMetadata(upstream.name, '', timeout)
        try:
            async with self._client.open(
                upstream.member.address,
                'POST',
                call.path,
                self._dialect.write_scoring(call, metadata),
                call.body,
                timeout,
            ) as response:
                return await self._read_result(
                    call, upstream, response, timeout
                )
        except CallFailedError as error:
            reason = error.state.value
            if error.state is CallFailure.late:
                self._pool.on_timeout(upstream)
                return ScoringOutcome(ScoringState.late, reason=reason)
            self._pool.on_failure(upstream, reason)
            crashed = (
                error.state is CallFailure.unanswered
                and await self._crash_detector.has_crashed(
                    upstream, call.id, fingerprint
                )
            )
            return ScoringOutcome(
                ScoringState.lost, reason=reason, crashed=crashed
            )

    async def _read_result(
        self,
        call: ScoringCall,
        upstream: Upstream,
        response: aiohttp.ClientResponse,
        timeout: timedelta,
    ) -> ScoringOutcome:
        metadata = self._dialect.read_response(
            call.id, response.status, response.headers
        )
        self._pool.on_load(upstream, metadata.load)
        reason = f'status {response.status}'
        if metadata.state is ResponseOutcome.not_run:
            self._pool.on_model_refused(upstream, '')
            return ScoringOutcome(ScoringState.not_run, reason=reason)
        if metadata.state is ResponseOutcome.foreign:
            self._pool.on_failure(upstream, 'foreign answer')
            return ScoringOutcome(ScoringState.lost, reason='foreign answer')
        # A truncated response does not count, so the body is read to its end
        # although its content is unused.
        size = 0
        async for chunk in read_chunks(response, timeout):
            size += len(chunk)
            if size > MAX_BODY_BYTES:
                return ScoringOutcome(ScoringState.lost, reason='too long')
        if metadata.state is ResponseOutcome.failed:
            return ScoringOutcome(ScoringState.failed, reason=reason)
        if metadata.state is not ResponseOutcome.served:
            return ScoringOutcome(ScoringState.lost, reason=reason)
        if not metadata.stamp:
            return ScoringOutcome(ScoringState.lost, reason='no stamp')
        self._pool.on_success(upstream)
        log.debug('Scoring call succeeded.', call=call.id, size=size)
        return ScoringOutcome(ScoringState.scored, metadata.stamp)
