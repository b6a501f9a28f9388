"""Attempts, resumption and interruption of requests for tokens."""

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
from quetzalcourse.tests.engines import ANSWER, WHOLE, FakeEngines, Piece

if TYPE_CHECKING:
    from quetzalcourse.state.refusal import Refusal
    from quetzalcourse.state.slots import Grant
    from quetzalcourse.tests.engines import Step

BROKEN = AttemptState.broken
REFUSED = AttemptState.refused
NOT_SENT = AttemptState.not_sent
CROSSED = Piece(0, 1, request_id='another')


class Bench:
    """A generation over scripted engines.

    :param scripts: what the attempts meet, one after another.
    """

    def __init__(self, *scripts: tuple[Step, ...], engines: int = 2) -> None:
        """Build the parts around the engines."""
        self.clock = FakeClock()
        self.counters = Counters()
        self.engines = FakeEngines(list(scripts))
        self.admission = WatchedAdmission(self.clock)
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
        """Build a request that may take a minute."""
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
        """Collect the tokens; each offset must follow on the one before."""
        tokens: list[str] = []
        async for chunk in self.generation.run(request):
            assert chunk.offset == len(tokens)
            assert chunk.request_id == request.request_id
            tokens.extend(chunk.tokens)
        return tokens

    def count_running(self) -> int:
        """Count the slots that are held."""
        return sum(map(self.admission.running, ('engine-0', 'engine-1')))


class WatchedAdmission(Admission):
    """Admission that remembers its grants."""

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


async def refuse(bench: Bench) -> Refusal:
    with pytest.raises(RefusedError) as raised:
        await bench.run(bench.build_request())
    await settle()
    assert bench.count_running() == 0
    return raised.value.refusal


@pytest.mark.parametrize(
    ('scripts', 'dropped'),
    [
        ([WHOLE], {}),
        ([(Piece(0, 2), BROKEN)], {}),
        ([(Piece(0, 2),)], {}),
        ([(Piece(0, 4), BROKEN)], {}),
        ([(Piece(0, 3), BROKEN), (Piece(1, 4),)], {}),
        ([(Piece(0, 2), Piece(1, 3), Piece(2, 4))], {}),
        ([(Piece(0, 2), Piece(0, 2), Piece(2, 4))], {'late': 1}),
        ([(Piece(0, 1), Piece(2, 4))], {'gap': 1}),
        ([(CROSSED, *WHOLE)], {'crossed': 1}),
        ([(CROSSED,) * 9], {'crossed': 8}),
        ([(REFUSED,), (NOT_SENT,)], {}),
    ],
)
async def test_answer_is_whole(
    scripts: list[tuple[Step, ...]],
    dropped: dict[str, int],
) -> None:
    # Engines cut streams, send tokens again, leave some out and mix up
    # answers. A caller would read a poem with lines missing, doubled, or
    # out of another caller's poem.
    bench = Bench(*scripts)
    assert await bench.run(bench.build_request()) == list(ANSWER)
    found = {
        reason: bench.counters.read('chunks_dropped', reason=reason)
        for reason in ('late', 'gap', 'crossed')
    }
    assert {key: one for key, one in found.items() if one} == dropped
    await settle()
    assert bench.count_running() == 0


@pytest.mark.parametrize(
    ('scripts', 'not_run'),
    [
        ([(NOT_SENT,)] * 4, True),
        ([(REFUSED,)] * 4, True),
        ([(BROKEN,), *[(REFUSED,)] * 3], False),
        ([*[(NOT_SENT,)] * 3, (BROKEN,)], False),
        ([(CROSSED, BROKEN), *[(NOT_SENT,)] * 3], False),
    ],
)
async def test_not_run_is_true(
    scripts: list[tuple[Step, ...]],
    not_run: bool,
) -> None:
    # A caller who reads "not run" sends the request again, and pays twice
    # if an engine had run it after all.
    bench = Bench(*scripts, engines=8)
    refusal = await refuse(bench)
    assert refusal.code is RefusalCode.upstream_failed
    assert refusal.not_run is not_run
    assert refusal.not_run is not bool(bench.engines.ran)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(
        st.lists(
            st.one_of(
                st.sampled_from((BROKEN, REFUSED, NOT_SENT, CROSSED)),
                st.builds(
                    lambda first, length: Piece(first, min(first + length, 4)),
                    st.integers(0, 3),
                    st.integers(1, 3),
                ),
            ),
            max_size=4,
        ).map(tuple),
        max_size=6,
    )
)
def test_every_script_ends_well(scripts: list[tuple[Step, ...]]) -> None:
    # Whatever engines do, a caller gets the whole answer or an error, and
    # "not run" only if no engine ran anything.
    async def play() -> None:
        bench = Bench(*scripts, engines=4)
        try:
            tokens = await bench.run(bench.build_request())
        except RefusedError as error:
            assert not (error.refusal.not_run and bench.engines.ran)
        else:
            assert tokens == list(ANSWER)
        await settle()
        assert bench.count_running() == 0

    asyncio.run(play())


async def test_revoked_stream_moves() -> None:
    # Humans need the slot of a training stream. A trainer whose stream
    # began again from the first token would lose what was generated.
    bench = Bench((Piece(0, 2), 'stall'))
    request = bench.build_request(TrafficClass.training)
    task = asyncio.create_task(bench.run(request))
    await settle()
    bench.admission.grants[0].revoked.set()
    assert await task == list(ANSWER)
    assert bench.engines.cancelled == ['request']
    assert bench.engines.sent[1][1:] == ('request.1', ANSWER[:2])


@pytest.mark.parametrize(
    ('traffic_class', 'humans', 'moves'),
    [
        (TrafficClass.training, False, True),
        (TrafficClass.human, False, False),
        (TrafficClass.human, True, True),
    ],
)
async def test_stream_leaves_with_its_upstream(
    traffic_class: TrafficClass,
    humans: bool,
    moves: bool,
) -> None:
    # An upstream gives notice. A long training stream that stayed would be
    # cut; a human's short one would only be slowed down by moving.
    bench = Bench((Piece(0, 1), 'stall'))
    task = asyncio.create_task(bench.run(bench.build_request(traffic_class)))
    await settle()
    name = bench.engines.sent[0][0]
    bench.generation.running_attempts.on_departure(DrainNotice(name, humans))
    await settle()
    assert task.done() is moves
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_caller_that_leaves_leaves_nothing() -> None:
    # A reader closes the page in mid-answer. An engine that went on would
    # keep a slot from the next reader.
    bench = Bench((Piece(0, 2), 'stall'))
    task = asyncio.create_task(bench.run(bench.build_request()))
    await settle()
    assert bench.count_running() == 1
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    await settle()
    assert bench.engines.cancelled == ['request']
    assert bench.engines.closed == 1
    assert bench.count_running() == 0


async def test_deadline_ends_a_stalled_stream() -> None:
    # An engine hangs. The caller learns at the deadline that the answer is
    # not whole, and that the request did run.
    bench = Bench((Piece(0, 2), 'stall'))
    task = asyncio.create_task(refuse(bench))
    await bench.clock.advance(timedelta(seconds=61))
    refusal = await task
    assert refusal.code is RefusalCode.deadline_exceeded
    assert refusal.not_run is False


async def test_hopeless_request_is_not_sent() -> None:
    # More is asked for than the engines can do. Every request is granted
    # its slot just before its deadline; sent, all would be cut by it.
    bench = Bench(engines=1)
    first = bench.admission.acquire

    async def acquire(slot):  # type: ignore[no-untyped-def]
        bench.clock.move(waiting)
        return await first(slot)

    bench.admission.acquire = acquire  # type: ignore[method-assign]
    bench.engines.pause = bench.clock.move
    waiting = timedelta(0)
    for _ in range(10):
        await bench.run(bench.build_request())
    waiting = timedelta(seconds=51)
    refusal = await refuse(bench)
    assert refusal.code is RefusalCode.deadline_exceeded
    assert refusal.not_run is True
    assert refusal.retry_after
    assert len(bench.engines.sent) == 10
    waiting = timedelta(seconds=49)
    assert await bench.run(bench.build_request()) == list(ANSWER)


async def test_wrong_version_is_not_shown() -> None:
    # Weights are swapped in mid-stream under a caller who asked for one
    # version. The tokens of the other would bear a false name.
    bench = Bench((Piece(0, 2), Piece(2, 4, weight_version=2)))
    request = replace(bench.build_request(), weight_version=1)
    assert await bench.run(request) == list(ANSWER)
    assert bench.engines.sent[1][2] == ANSWER[:2]


async def test_retries_are_bounded() -> None:
    # Every engine breaks every stream. Without a budget each request would
    # come four times, just when capacity is least.
    bench = Bench(*[(BROKEN,)] * 400, engines=2)
    for _ in range(100):
        with pytest.raises(RefusedError):
            await bench.run(bench.build_request())
        bench.clock.move(timedelta(seconds=40))
    assert len(bench.engines.sent) <= 100 + 20 + 100 * 0.2
