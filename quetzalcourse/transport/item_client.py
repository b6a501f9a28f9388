"""HTTP client that runs batch items on upstreams."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.token_latencies import (
    TokenLatencyReader,
)
from quetzalcourse.log import get_log
from quetzalcourse.state.calls import ResponseOutcome, AttemptMetadata
from quetzalcourse.transport.response_body import (
    EventSplitter,
    OversizedEventError,
)
from quetzalcourse.transport.upstream_client import (
    CallFailedError,
    CallFailure,
    read_chunks,
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
    from quetzalcourse.transport.upstream_client import UpstreamClient
    from quetzalcourse.transport.crash_detector import CrashDetector

# An upstream sends an event every 40 to 150 ms, and none while it loads
# weights, which takes about a second; after that it is considered dead.
EVENT_TIMEOUT = timedelta(seconds=1.6)
# Far above the longest text that fits into a page of results.
MAX_STREAM_BYTES = 8_388_608
log = get_log('items')


class MalformedStreamError(Exception):
    """Foreign response, or stream with malformed or unordered events."""


class ItemClient:
    """Runs batch items on upstreams, one attempt per call."""

    def __init__(
        self,
        client: UpstreamClient,
        dialect: UpstreamDialect,
        pool: Pool,
        crash_detector: CrashDetector,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Store the collaborators."""
        self._client = client
        self._dialect = dialect
        self._pool = pool
        self._crash_detector = crash_detector
        self._clock = clock
        self._counters = counters

    async def run(
        self,
        batch: BatchRun,
        run: ItemRun,
        upstream: Upstream,
    ) -> ItemResult | None:
        """Run one attempt of an item.

        :returns: the item's result, ``None`` if the attempt ended without one.
        """
        now = self._clock.elapsed()
        head = batch.head
        metadata = AttemptMetadata(
            upstream.name,
            head.client_account,
            batch.expires_at - now,
            run.resume_after,
        )
        headers = self._dialect.write_item(run.item, head.host, metadata)
        resumed = run.resume_after
        try:
            async with self._client.open(
                upstream.member.address,
                'POST',
                run.item.path,
                headers,
                run.item.body,
                EVENT_TIMEOUT,
            ) as response:
                result = await self._receive(batch, run, upstream, response)
        except CallFailedError as error:
            self._pool.on_failure(upstream, error.state.value)
            self._record_failed_attempt(batch, run, upstream, error.state.value)
            if error.state is CallFailure.unanswered:
                await self._delay_after_crash(run, upstream)
            if error.state is CallFailure.not_sent:
                run.back_off(self._clock.elapsed())
            return None
        except MalformedStreamError as error:
            self._pool.on_failure(upstream, 'garbled')
            self._record_failed_attempt(batch, run, upstream, str(error))
            run.back_off(self._clock.elapsed())
            await self._delay_after_crash(run, upstream)
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

    async def _delay_after_crash(
        self, run: ItemRun, upstream: Upstream
    ) -> None:
        crashed = await self._crash_detector.has_crashed(
            upstream, run.item.id, run.fingerprint
        )
        if crashed:
            run.on_crash(self._clock.elapsed())

    def _record_failed_attempt(
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
        response: aiohttp.ClientResponse,
    ) -> ItemResult | None:
        metadata = self._dialect.read_response(
            run.item.id, response.status, response.headers
        )
        self._pool.on_load(upstream, metadata.load)
        model = batch.head.model
        if metadata.state is ResponseOutcome.foreign:
            raise MalformedStreamError('foreign answer')
        if metadata.state is ResponseOutcome.not_run:
            self._pool.on_model_refused(upstream, model)
            self._record_failed_attempt(
                batch, run, upstream, f'status {response.status}'
            )
            return None
        if metadata.state is ResponseOutcome.impossible:
            return run.build_abandoned_result()
        if metadata.state is ResponseOutcome.failed:
            return self._handle_failed_response(
                batch, run, upstream, response.status
            )
        if metadata.state is ResponseOutcome.unfinished:
            self._record_failed_attempt(
                batch, run, upstream, f'status {response.status}'
            )
            run.back_off(self._clock.elapsed())
            return None
        if metadata.weight_version:
            self._pool.on_version(upstream, model, metadata.weight_version)
        if not self._accepts_version(batch, run, metadata.weight_version):
            self._pool.on_model_refused(upstream, model)
            self._record_failed_attempt(batch, run, upstream, 'old weights')
            return None
        complete = await self._read_stream(
            batch, run, upstream, response, metadata.weight_version
        )
        if not complete:
            return None
        self._pool.on_success(upstream)
        return run.build_completed_result()

    def _handle_failed_response(
        self,
        batch: BatchRun,
        run: ItemRun,
        upstream: Upstream,
        status: int,
    ) -> ItemResult | None:
        run.failures += 1
        self._record_failed_attempt(batch, run, upstream, f'status {status}')
        if run.failures >= batch.head.max_attempts:
            return run.build_abandoned_result()
        run.back_off(self._clock.elapsed())
        return None

    def _accepts_version(
        self, batch: BatchRun, run: ItemRun, version: int
    ) -> bool:
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
        response: aiohttp.ClientResponse,
        version: int,
    ) -> bool:
        """Append the events of a stream to an item.

        :returns: whether the stream completed.
        :raises MalformedStreamError: if an event is broken or out of order.
        """
        splitter = EventSplitter()
        stream_bytes = 0
        last_event_at = self._clock.elapsed()
        token_latency = TokenLatencyReader()
        async for chunk in read_chunks(response, EVENT_TIMEOUT):
            stream_bytes += len(chunk)
            if stream_bytes > MAX_STREAM_BYTES:
                run.reset_text()
                raise MalformedStreamError('stream is too long')
            frames = _split_events(splitter, chunk)
            now = self._clock.elapsed()
            if frames:
                last_event_at = now
            elif now - last_event_at > EVENT_TIMEOUT:
                raise CallFailedError(CallFailure.late, upstream.name)
            for frame in frames:
                event = self._read_event(run, frame)
                version = event.weight_version or version
                self._pool.on_version(upstream, batch.head.model, version)
                if not self._accepts_version(batch, run, version):
                    self._record_failed_attempt(
                        batch, run, upstream, 'mixed weights'
                    )
                    return False
                run.append(event, version)
            reading = token_latency.read(now, len(frames))
            if reading is not None:
                self._pool.on_token_latency(upstream, reading)
            if run.migration_slot is not None:
                self._record_failed_attempt(batch, run, upstream, 'moved')
                return False
        if splitter.rest.strip():
            raise MalformedStreamError('broken event')
        return True

    def _read_event(self, run: ItemRun, frame: bytes) -> StreamEvent:
        event = self._dialect.read_event(frame)
        if event is None:
            raise MalformedStreamError('no event')
        if not run.is_next(event):
            raise MalformedStreamError('event out of order')
        return event


def _split_events(splitter: EventSplitter, chunk: bytes) -> list[bytes]:
    try:
        return splitter.feed(chunk)
    except OversizedEventError as error:
        raise MalformedStreamError(str(error)) from error
