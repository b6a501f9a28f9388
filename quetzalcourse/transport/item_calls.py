"""Items of batches at upstreams: one attempt, event by event."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.token_latencies import (
    TokenLatencyReader,
)
from quetzalcourse.log import get_log
from quetzalcourse.state.calls import ResponseOutcome, AttemptMetadata
from quetzalcourse.transport.upstream_calls import (
    CallLostError,
    LostState,
    read_pieces,
)

if TYPE_CHECKING:
    import aiohttp

    from quetzalcourse.coordination.batches.batch_run import BatchRun
    from quetzalcourse.coordination.batches.item_run import ItemRun
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.state.batches import ItemResult, StreamEvent
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.transport.dialect import UpstreamDialect
    from quetzalcourse.transport.upstream_calls import UpstreamCalls
    from quetzalcourse.transport.upstream_ends import UpstreamEnds

# An upstream sends an event every 40 to 150 ms, and none during a load of
# weights, which takes about a second; one silent for longer is gone.
STALL = timedelta(seconds=1.6)
FRAME_END = b'\n\n'
log = get_log('items')


class GarbledStreamError(Exception):
    """Stream whose events do not follow each other."""


class ItemCalls:
    """Runs items at upstreams."""

    def __init__(
        self,
        calls: UpstreamCalls,
        dialect: UpstreamDialect,
        pool: Pool,
        ends: UpstreamEnds,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Keep the parts."""
        self._calls = calls
        self._dialect = dialect
        self._pool = pool
        self._ends = ends
        self._clock = clock
        self._counters = counters

    async def run(
        self,
        batch: BatchRun,
        run: ItemRun,
        upstream: Upstream,
    ) -> ItemResult | None:
        """Run an item until its end, or until the attempt fails."""
        now = self._clock.elapsed()
        head = batch.head
        terms = AttemptMetadata(
            upstream.name,
            head.client_account,
            batch.expires_at - now,
            run.resume_after,
        )
        headers = self._dialect.write_item(run.item, head.host, terms)
        resumed = run.resume_after
        try:
            async with self._calls.open(
                upstream.member.address,
                'POST',
                run.item.path,
                headers,
                run.item.body,
                STALL,
            ) as answer:
                result = await self._receive(batch, run, upstream, answer)
        except CallLostError as error:
            self._pool.on_failure(upstream, error.state.value)
            self._miss(batch, run, upstream, error.state.value)
            if error.state is LostState.unanswered:
                await self._ends.on_broken(
                    upstream, run.item.id, run.fingerprint
                )
            if error.state is LostState.not_sent:
                run.back_off(self._clock.elapsed())
            return None
        except GarbledStreamError as error:
            self._pool.on_failure(upstream, 'garbled')
            self._miss(batch, run, upstream, str(error))
            await self._ends.on_broken(upstream, run.item.id, run.fingerprint)
            run.back_off(self._clock.elapsed())
            return None
        if result is not None:
            log.info(
                'Item is done.',
                batch=head.id,
                item=run.item.id,
                state=result.state.value,
                upstream=upstream.name,
                resumed=resumed,
                events=len(run.texts),
                seconds=round((self._clock.elapsed() - now).total_seconds(), 3),
            )
        return result

    def _miss(
        self,
        batch: BatchRun,
        run: ItemRun,
        upstream: Upstream,
        reason: str,
    ) -> None:
        self._counters.add('item_attempts_failed', reason=reason)
        log.info(
            'Item attempt failed.',
            batch=batch.head.id,
            item=run.item.id,
            fingerprint=run.fingerprint,
            upstream=upstream.name,
            reason=reason,
            events=len(run.texts),
        )

    async def _receive(
        self,
        batch: BatchRun,
        run: ItemRun,
        upstream: Upstream,
        answer: aiohttp.ClientResponse,
    ) -> ItemResult | None:
        marks = self._dialect.read_answer(
            run.item.id, answer.status, answer.headers
        )
        self._pool.on_load(upstream, marks.load)
        model = batch.head.model
        if marks.state is ResponseOutcome.foreign:
            raise GarbledStreamError('foreign answer')
        if marks.state is ResponseOutcome.not_run:
            self._pool.on_model_refused(upstream, model)
            self._miss(batch, run, upstream, f'status {answer.status}')
            return None
        if marks.state is ResponseOutcome.impossible:
            return run.build_abandoned_result()
        if marks.state is ResponseOutcome.failed:
            return self._fail(batch, run, upstream, answer.status)
        if marks.state is ResponseOutcome.unfinished:
            self._miss(batch, run, upstream, f'status {answer.status}')
            run.back_off(self._clock.elapsed())
            return None
        if marks.weight_version:
            self._pool.on_version(upstream, model, marks.weight_version)
        if not self._accepts(batch, run, marks.weight_version):
            self._pool.on_model_refused(upstream, model)
            self._miss(batch, run, upstream, 'old weights')
            return None
        whole = await self._read_stream(
            batch, run, upstream, answer, marks.weight_version
        )
        if not whole:
            return None
        self._pool.on_success(upstream)
        return run.build_completed_result()

    def _fail(
        self,
        batch: BatchRun,
        run: ItemRun,
        upstream: Upstream,
        status: int,
    ) -> ItemResult | None:
        run.failures += 1
        self._miss(batch, run, upstream, f'status {status}')
        if run.failures >= batch.head.max_attempts:
            return run.build_abandoned_result()
        run.back_off(self._clock.elapsed())
        return None

    def _accepts(self, batch: BatchRun, run: ItemRun, version: int) -> bool:
        if version and version < batch.head.min_version:
            return False
        mixed = bool(run.versions) and version not in run.versions
        if batch.head.single_version and mixed:
            run.reset_text()
            return False
        return True

    async def _read_stream(
        self,
        batch: BatchRun,
        run: ItemRun,
        upstream: Upstream,
        answer: aiohttp.ClientResponse,
        version: int,
    ) -> bool:
        """Take the events of a stream.

        :returns: whether it came to its end.
        """
        rest = b''
        token_latency = TokenLatencyReader()
        async for piece in read_pieces(answer, STALL):
            *frames, rest = (rest + piece).split(FRAME_END)
            for frame in frames:
                event = self._read_event(run, frame)
                version = event.weight_version or version
                self._pool.on_version(upstream, batch.head.model, version)
                if not self._accepts(batch, run, version):
                    self._miss(batch, run, upstream, 'mixed weights')
                    return False
                run.append(event, version)
            reading = token_latency.read(self._clock.elapsed(), len(frames))
            if reading is not None:
                self._pool.on_token_latency(upstream, reading)
            if run.migration_target is not None:
                self._miss(batch, run, upstream, 'moved')
                return False
        if rest.strip():
            raise GarbledStreamError('broken event')
        return True

    def _read_event(self, run: ItemRun, frame: bytes) -> StreamEvent:
        event = self._dialect.read_event(frame)
        if event is None:
            raise GarbledStreamError('no event')
        if not run.is_next(event):
            raise GarbledStreamError('event out of order')
        return event
