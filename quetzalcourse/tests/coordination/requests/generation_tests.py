"""Tests of attempts, resumption and interruption of generation requests."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalcourse.coordination.requests.generation_runner import (
    GenerationRunner,
)
from quetzalcourse.coordination.requests.retries import RetryBudget
from quetzalcourse.coordination.routing.outlier_detection import OutlierDetector
from quetzalcourse.coordination.routing.drain_tracker import DrainNotice
from quetzalcourse.coordination.routing.routing import Router
from quetzalcourse.coordination.slots.admission import Admission
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.generation import (
    AttemptState,
    GenerationRequest,
    TrafficClass,
)
from quetzalcourse.state.manifest import (
    ClientAccount,
    Manifest,
    Upstream,
    UpstreamKind,
)
from quetzalcourse.state.refusal import RefusalCode
from quetzalcourse.tests.clocks import FakeClock, settle
from quetzalcourse.tests.engines import (
    ANSWER,
    FULL_ANSWER,
    FakeEngines,
    ScriptedChunk,
)

if TYPE_CHECKING:
    from quetzalcourse.state.refusal import Refusal
    from quetzalcourse.state.slots import Grant
    from quetzalcourse.tests.engines import Step

BROKEN = AttemptState.broken
REFUSED = AttemptState.refused
NOT_SENT = AttemptState.not_sent
FOREIGN_CHUNK = ScriptedChunk(0, 1, request_id='another')


class GenerationHarness:
    """Generation runner over scripted engines.

    :param scripts: behaviour of each attempt, in order.
    """

    def __init__(self, *scripts: tuple[Step, ...], engines: int = 2) -> None:
        """Build the runner and its components."""
        self.clock = FakeClock()
        self.counters = Counters()
        self.engines = FakeEngines(list(scripts))
        self.admission = RecordingAdmission(self.clock)
        router = Router('hall')
        health = OutlierDetector(self.clock, self.counters, Random(1))
        self.budget = RetryBudget()
        self.generation = GenerationRunner(
            self.admission,
            router,
            health,
            self.budget,
            self.engines,
            self.clock,
            self.counters,
        )
        manifest = make_manifest(engines)
        for part in (self.admission, router, health):
            part.on_manifest(manifest)

    def build_request(
        self,
        traffic_class: TrafficClass = TrafficClass.human,
    ) -> GenerationRequest:
        """Build a request with a deadline in one minute."""
        return GenerationRequest(
            'request',
            'readers',
            traffic_class,
            'verse',
            'prompt',
            len(ANSWER),
            self.clock.elapsed() + timedelta(minutes=1),
        )

    async def run(self, request: GenerationRequest) -> list[str]:
        """Collect the tokens and check that the offsets are contiguous."""
        tokens: list[str] = []
        async for chunk in self.generation.run(request):
            assert chunk.offset == len(tokens)
            assert chunk.request_id == request.request_id
            tokens.extend(chunk.tokens)
        return tokens

    def count_running(self) -> int:
        """Return the number of held slots."""
        return sum(map(self.admission.running, ('engine-0', 'engine-1')))


class RecordingAdmission(Admission):
    """Admission that records its grants."""

    grants: list[Grant]

    async def acquire(self, request):  # type: ignore[no-untyped-def]
        grant = await super().acquire(request)
        self.grants = [*getattr(self, 'grants', []), grant]
        return grant


def make_manifest(engines: int) -> Manifest:
    upstreams = {
        name: Upstream(
            name, UpstreamKind.engine, 'hall', '127.0.0.1:1', 2, ('verse',)
        )
        for name in (f'engine-{index}' for index in range(engines))
    }
    account = ClientAccount('readers', 1.0, 1000.0, 1000, 1000)
    return Manifest(client_accounts={'readers': account}, upstreams=upstreams)


async def expect_refusal(harness: GenerationHarness) -> Refusal:
    with pytest.raises(RefusedError) as raised:
        await harness.run(harness.build_request())
    await settle()
    assert harness.count_running() == 0
    return raised.value.refusal


@pytest.mark.parametrize(
    ('scripts', 'dropped'),
    [
        ([FULL_ANSWER], {}),
        ([(ScriptedChunk(0, 2), BROKEN)], {}),
        ([(ScriptedChunk(0, 2),)], {}),
        ([(ScriptedChunk(0, 4), BROKEN)], {}),
        ([(ScriptedChunk(0, 3), BROKEN), (ScriptedChunk(1, 4),)], {}),
        ([(ScriptedChunk(0, 2), ScriptedChunk(1, 3), ScriptedChunk(2, 4))], {}),
        (
            [(ScriptedChunk(0, 2), ScriptedChunk(0, 2), ScriptedChunk(2, 4))],
            {'late': 1},
        ),
        ([(ScriptedChunk(0, 1), ScriptedChunk(2, 4))], {'gap': 1}),
        ([(FOREIGN_CHUNK, *FULL_ANSWER)], {'crossed': 1}),
        ([(FOREIGN_CHUNK,) * 9], {'crossed': 8}),
        ([(REFUSED,), (NOT_SENT,)], {}),
    ],
)
async def test_answer_is_complete_despite_faults(
    scripts: list[tuple[Step, ...]],
    dropped: dict[str, int],
) -> None:
    # Engines cut streams, repeat tokens, omit some, and mix up answers. The
    # caller must get no answer with parts missing, repeated, or taken from
    # another caller's answer.
    harness = GenerationHarness(*scripts)
    assert await harness.run(harness.build_request()) == list(ANSWER)
    found = {
        reason: harness.counters.read('chunks_dropped', reason=reason)
        for reason in ('late', 'gap', 'crossed')
    }
    assert {key: one for key, one in found.items() if one} == dropped
    await settle()
    assert harness.count_running() == 0


@pytest.mark.parametrize(
    ('scripts', 'not_run'),
    [
        ([(NOT_SENT,)] * 4, True),
        ([(REFUSED,)] * 4, True),
        ([(BROKEN,), *[(REFUSED,)] * 3], False),
        ([*[(NOT_SENT,)] * 3, (BROKEN,)], False),
        ([(FOREIGN_CHUNK, BROKEN), *[(NOT_SENT,)] * 3], False),
    ],
)
async def test_not_run_is_reported_only_if_no_engine_ran(
    scripts: list[tuple[Step, ...]],
    not_run: bool,
) -> None:
    # A caller that reads "not run" sends the request again, and pays twice if
    # an engine did run it.
    harness = GenerationHarness(*scripts, engines=8)
    refusal = await expect_refusal(harness)
    assert refusal.code is RefusalCode.upstream_failed
    assert refusal.not_run is not_run
    assert refusal.not_run is not bool(harness.engines.ran)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(
        st.lists(
            st.one_of(
                st.sampled_from((BROKEN, REFUSED, NOT_SENT, FOREIGN_CHUNK)),
                st.builds(
                    lambda first, length: ScriptedChunk(
                        first, min(first + length, 4)
                    ),
                    st.integers(0, 3),
                    st.integers(1, 3),
                ),
            ),
            max_size=4,
        ).map(tuple),
        max_size=6,
    )
)
def test_any_script_ends_in_whole_answer_or_error(
    scripts: list[tuple[Step, ...]],
) -> None:
    # Whatever engines do, a caller gets the whole answer or an error, and "not
    # run" only if no engine ran anything.
    async def run_script() -> None:
        harness = GenerationHarness(*scripts, engines=4)
        try:
            tokens = await harness.run(harness.build_request())
        except RefusedError as error:
            assert not (error.refusal.not_run and harness.engines.ran)
        else:
            assert tokens == list(ANSWER)
        await settle()
        assert harness.count_running() == 0

    asyncio.run(run_script())


async def test_revoked_stream_resumes_at_last_token() -> None:
    # Human requests need the slot of a training stream. A stream that restarted
    # at the first token would lose what was generated.
    harness = GenerationHarness((ScriptedChunk(0, 2), 'stall'))
    request = harness.build_request(TrafficClass.training)
    task = asyncio.create_task(harness.run(request))
    await settle()
    harness.admission.grants[0].revoked.set()
    assert await task == list(ANSWER)
    assert harness.engines.cancelled == ['request']
    assert harness.engines.sent[1][1:] == ('request.1', ANSWER[:2])


@pytest.mark.parametrize(
    ('traffic_class', 'humans', 'moves'),
    [
        (TrafficClass.training, False, True),
        (TrafficClass.human, False, False),
        (TrafficClass.human, True, True),
    ],
)
async def test_streams_move_from_leaving_upstream_by_class(
    traffic_class: TrafficClass,
    humans: bool,
    moves: bool,
) -> None:
    # An upstream announces that it leaves. A long training stream that stayed
    # would be cut; a human's short stream would only be delayed by moving.
    harness = GenerationHarness((ScriptedChunk(0, 1), 'stall'))
    task = asyncio.create_task(
        harness.run(harness.build_request(traffic_class))
    )
    await settle()
    name = harness.engines.sent[0][0]
    harness.generation.running_attempts.on_departure(DrainNotice(name, humans))
    await settle()
    assert task.done() is moves
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_disconnected_caller_frees_slot_and_engine() -> None:
    # A caller disconnects in mid-answer. An engine that continued would keep
    # the slot from the next caller.
    harness = GenerationHarness((ScriptedChunk(0, 2), 'stall'))
    task = asyncio.create_task(harness.run(harness.build_request()))
    await settle()
    assert harness.count_running() == 1
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    await settle()
    assert harness.engines.cancelled == ['request']
    assert harness.engines.closed == 1
    assert harness.count_running() == 0


async def test_stalled_stream_is_refused_at_deadline() -> None:
    # An engine hangs. At the deadline the caller must be told that the answer
    # is incomplete, and that the request did run.
    harness = GenerationHarness((ScriptedChunk(0, 2), 'stall'))
    task = asyncio.create_task(expect_refusal(harness))
    await harness.clock.advance(timedelta(seconds=61))
    refusal = await task
    assert refusal.code is RefusalCode.deadline_exceeded
    assert refusal.not_run is False


async def test_request_without_enough_time_is_not_sent() -> None:
    # The engines are overloaded, and every request is granted its slot just
    # before its deadline; if sent, all would be cut off by it.
    harness = GenerationHarness(engines=1)
    original_acquire = harness.admission.acquire

    async def acquire(slot):  # type: ignore[no-untyped-def]
        harness.clock.move(waiting)
        return await original_acquire(slot)

    harness.admission.acquire = acquire  # type: ignore[method-assign]
    harness.engines.pause = harness.clock.move
    waiting = timedelta(0)
    for _ in range(10):
        await harness.run(harness.build_request())
    waiting = timedelta(seconds=51)
    refusal = await expect_refusal(harness)
    assert refusal.code is RefusalCode.deadline_exceeded
    assert refusal.not_run is True
    assert refusal.retry_after
    assert len(harness.engines.sent) == 10
    waiting = timedelta(seconds=49)
    assert await harness.run(harness.build_request()) == list(ANSWER)


async def test_chunk_of_wrong_version_is_not_delivered() -> None:
    # Weights are swapped in mid-stream although the caller requested one
    # version. Tokens of the other version would be reported under the wrong
    # one.
    harness = GenerationHarness(
        (ScriptedChunk(0, 2), ScriptedChunk(2, 4, weight_version=2))
    )
    request = replace(harness.build_request(), weight_version=1)
    assert await harness.run(request) == list(ANSWER)
    assert harness.engines.sent[1][2] == ANSWER[:2]


async def test_retries_stay_within_budget() -> None:
    # Every engine breaks every stream. Without a budget each request would be
    # sent four times, just when capacity is lowest.
    harness = GenerationHarness(*[(BROKEN,)] * 400, engines=2)
    for _ in range(100):
        with pytest.raises(RefusedError):
            await harness.run(harness.build_request())
        harness.clock.move(timedelta(seconds=40))
    assert len(harness.engines.sent) <= 100 + 20 + 100 * 0.2
