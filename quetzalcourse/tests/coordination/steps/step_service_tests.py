"""Steps as trainers and operators see them, under injected faults."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from result import Err

from quetzalcourse.coordination.steps.step_rows import (
    build_open_key,
    build_step_key,
)
from quetzalcourse.standins.scripted_generation import ScriptedEngine
from quetzalcourse.standins.virtual_time import run_virtual
from quetzalcourse.state.refusal import RefusalCode
from quetzalcourse.tests.step_schedules import Schedule, plan_length
from quetzalcourse.tests.step_simulation import (
    TRAINER,
    StepSimulation,
    FakeTrainer,
    build_spec,
    list_prompts,
)

SPEC = build_spec()
PROMPTS = list_prompts(SPEC)


def build_world(seed: int = 1, engines: int = 3) -> StepSimulation:
    return StepSimulation(
        seed,
        [ScriptedEngine(f'engine-{index}', 4) for index in range(engines)],
        plan_length,
    )


async def run_schedule(seed: int) -> tuple[str, ...]:
    return (await Schedule(seed).run()).faults


@pytest.mark.parametrize('seed', range(1, 31))
def test_fault_schedule_keeps_step_intact(seed: int) -> None:
    # Daemons die and freeze, the store is down or loses answers, engines
    # crash and omit versions, weights change and scoring fails while a step
    # runs. The trainer must not get a sample twice, miss one, or get tokens
    # of weights that it did not ask for.
    assert run_virtual(run_schedule(seed)) == ()


@pytest.mark.parametrize('fault', ['lost_before', 'lost_after', 'not_applied'])
@pytest.mark.parametrize('writes', [0, 1, 2, 3])
def test_lost_store_answers_duplicate_nothing(fault: str, writes: int) -> None:
    # The store's answer to the creation or to one of the first commits is
    # lost. A commit repeated at another position would be read twice.
    async def run() -> tuple[list[str], int]:
        world = build_world()
        world.start_daemon()
        world.platform.write_faults.extend([''] * writes + [fault])
        trainer = FakeTrainer(world, SPEC)
        await trainer.run()
        await world.stop()
        return trainer.faults, len(trainer.samples)

    assert run_virtual(run()) == ([], SPEC.total)


@pytest.mark.parametrize(
    ('body', 'expected'),
    [('body', None), ('other body', RefusalCode.conflict)],
)
def test_repeated_creation_needs_same_body(
    body: str,
    expected: RefusalCode | None,
) -> None:
    # A trainer that got no answer retries through another daemon. The same
    # body must give the same step, and a different one must not replace it.
    async def run() -> RefusalCode | None:
        world = build_world()
        first, second = world.start_daemon(), world.start_daemon()
        (await first.steps.create(SPEC, PROMPTS)).unwrap()
        again = replace(SPEC, body_digest=body)
        answer = await second.steps.create(again, PROMPTS)
        await world.stop()
        return answer.err_value.code if isinstance(answer, Err) else None

    assert run_virtual(run()) == expected


def test_progress_is_read_from_any_daemon() -> None:
    async def run() -> None:
        world = build_world()
        first, second = world.start_daemon(), world.start_daemon()
        (await first.steps.create(SPEC, PROMPTS)).unwrap()
        await asyncio.sleep(6)
        progress = (await second.steps.get_progress(TRAINER, 1)).unwrap()
        assert progress.run is not None
        assert progress.run.holder == first.member.incarnation
        assert 0 < progress.run.committed < progress.total
        await world.stop()

    run_virtual(run())


def test_blocked_step_reports_reason() -> None:
    # No engine can run the step. Every daemon must report what blocks it,
    # although nothing is ever committed.
    async def run() -> None:
        world = build_world()
        first, second = world.start_daemon(), world.start_daemon()
        world.generation.refuse_next = 10_000
        (await first.steps.create(SPEC, PROMPTS)).unwrap()
        await asyncio.sleep(25)
        progress = (await second.steps.get_progress(TRAINER, 1)).unwrap()
        assert progress.run is not None
        assert progress.run.committed == 0
        assert progress.run.held_up == {'upstream_failed': 16}
        stuck = first.counters.read(
            'step_samples', trainer=TRAINER, state='held_up'
        )
        assert stuck == 16
        await world.stop()

    run_virtual(run())


def test_cancelled_step_stops_on_every_engine() -> None:
    # A trainer cancels a step. Engines that continued it would delay other
    # trainers.
    async def run() -> None:
        world = build_world()
        first, second = world.start_daemon(), world.start_daemon()
        (await first.steps.create(SPEC, PROMPTS)).unwrap()
        await asyncio.sleep(3)
        (await second.steps.cancel(TRAINER, 1)).unwrap()
        await asyncio.sleep(5)
        assert all(engine.running == 0 for engine in world.engines)
        assert set(world.platform.table.rows) == {
            build_step_key(TRAINER, 1),
            f'step-delivery/{TRAINER}/{1:012d}',
        }
        answer = await first.steps.read(TRAINER, 1, 0)
        assert answer.unwrap_err().code is RefusalCode.cancelled
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize(
    ('cursor', 'code'),
    [
        (0, RefusalCode.conflict),
        (99, RefusalCode.invalid_body),
    ],
)
def test_bad_cursor_is_refused(cursor: int, code: RefusalCode) -> None:
    # A trainer restarts with a cursor that it was never issued. It must not
    # get acknowledged samples again, nor skip any silently.
    async def run() -> RefusalCode:
        world = build_world()
        daemon = world.start_daemon()
        (await daemon.steps.create(SPEC, PROMPTS)).unwrap()
        await asyncio.sleep(8)
        batches = (await daemon.steps.read(TRAINER, 1, 0)).unwrap()
        assert batches
        (await daemon.steps.acknowledge(TRAINER, 1, 1)).unwrap()
        answer = await daemon.steps.read(TRAINER, 1, cursor)
        await world.stop()
        return answer.unwrap_err().code

    assert run_virtual(run()) is code


def test_acknowledged_step_leaves_no_batches() -> None:
    async def run() -> list[str]:
        world = build_world()
        daemon = world.start_daemon()
        await FakeTrainer(world, SPEC).run()
        progress = (await daemon.steps.get_progress(TRAINER, 1)).unwrap()
        for _ in range(2):
            (
                await daemon.steps.acknowledge(
                    TRAINER, 1, progress.delivery.sealed
                )
            ).unwrap()
        await asyncio.sleep(5)
        await world.stop()
        return sorted(world.platform.table.rows)

    rows = run_virtual(run())
    assert build_open_key(TRAINER, 1) not in rows
    assert not [row for row in rows if row.startswith('step-log/')]


def test_outdated_samples_are_generated_again() -> None:
    # Nobody reads a finished step while two weight versions are published.
    # Its samples are then too old, and a trainer that got them would learn
    # from an outdated policy.
    async def run() -> tuple[list[str], set[int], float]:
        world = build_world()
        daemon = world.start_daemon()
        (await daemon.steps.create(SPEC, PROMPTS)).unwrap()
        await asyncio.sleep(60)
        for _ in range(2):
            version = world.platform.publish()
        for engine in world.engines:
            engine.weight_version = version
        await asyncio.sleep(5)
        trainer = FakeTrainer(world, SPEC)
        await trainer.run()
        await world.stop()
        ages = set(trainer.ages)
        dropped = world.count('samples_dropped_at_reading')
        return trainer.faults, ages, dropped

    faults, ages, dropped = run_virtual(run())
    assert faults == []
    assert ages == {0}
    assert dropped == SPEC.total


def test_unavailable_weight_store_blocks_delivery() -> None:
    # The weight store does not answer, so that it is unknown whether samples
    # became too old. The trainer is asked to retry.
    async def run() -> None:
        world = build_world()
        daemon = world.start_daemon()
        (await daemon.steps.create(SPEC, PROMPTS)).unwrap()
        await asyncio.sleep(60)

        world.platform.weights_down = True
        await asyncio.sleep(5)
        refusal = (await daemon.steps.read(TRAINER, 1, 0)).unwrap_err()
        assert refusal.code is RefusalCode.store_unavailable
        assert refusal.retry_after is not None
        await world.stop()

    run_virtual(run())
