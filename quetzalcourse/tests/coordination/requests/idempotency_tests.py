"""Tests that a call with an idempotency key is sent at most once."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalcourse.coordination.requests.idempotency import (
    IdempotencyStore,
    KeyedCall,
    digest_call,
)
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.refusal import RefusalCode
from quetzalcourse.tests.tables import FakeStore

CALL = KeyedCall('one', 'readers', 'key', digest_call('POST', 'a', b'body'))
AGAIN = replace(CALL, request_id='two')
OTHER_BODY = replace(AGAIN, digest=digest_call('POST', 'a', b'other'))
OTHER_ACCOUNT = replace(OTHER_BODY, client_account='editors')


async def expect_refusal(
    claims: IdempotencyStore, call: KeyedCall
) -> tuple[RefusalCode, bool]:
    """Claim a key and return the expected refusal."""
    with pytest.raises(RefusedError) as raised:
        await claims.claim(call)
    return raised.value.refusal.code, raised.value.refusal.not_run


@pytest.mark.parametrize(
    ('faults', 'taken'),
    [
        ([''], True),
        (['lost_after'], True),
        (['lost_before'], True),
        (['not_applied', ''], True),
        (['lost_before', 'lost_after'], True),
        (['not_applied'] * 3, False),
        (['lost_before'] * 3, False),
    ],
)
async def test_claim_is_recovered_after_store_fault(
    faults: list[str], taken: bool
) -> None:
    # The store loses an answer after the write took effect. A daemon that
    # treated its claim as failed would refuse a call that no other daemon can
    # make any more.
    store = FakeStore()
    store.write_faults.extend(faults)
    claims = IdempotencyStore(store)
    if taken:
        await claims.claim(CALL)
    else:
        assert await expect_refusal(claims, CALL) == (
            RefusalCode.store_unavailable,
            True,
        )


@pytest.mark.parametrize(
    ('call', 'state', 'expected'),
    [
        (AGAIN, 'open', (RefusalCode.outcome_unknown, False)),
        (AGAIN, 'answered', (RefusalCode.already_ran, False)),
        (OTHER_BODY, 'open', (RefusalCode.conflict, True)),
        (OTHER_BODY, 'answered', (RefusalCode.conflict, True)),
        (AGAIN, 'not_run', None),
        (OTHER_BODY, 'not_run', None),
        (OTHER_ACCOUNT, 'answered', None),
    ],
)
async def test_second_use_gets_outcome_of_first(
    call: KeyedCall,
    state: str,
    expected: tuple[RefusalCode, bool] | None,
) -> None:
    # A caller whose connection broke retries with the same key through another
    # daemon, which must report the outcome of the first call.
    store = FakeStore()
    first = IdempotencyStore(store)
    claim = await first.claim(CALL)
    if state == 'answered':
        assert await first.on_answered(claim, 201)
    elif state == 'not_run':
        assert await first.on_not_run(claim)
    second = IdempotencyStore(store)
    if expected is None:
        await second.claim(call)
    else:
        assert await expect_refusal(second, call) == expected


async def test_unreadable_claim_is_refused() -> None:
    # The store goes down after the claim and before it is read back. Sending
    # the call without knowing could run it a second time.
    store = FakeStore()
    claims = IdempotencyStore(store)
    store.write_faults.append('lost_after')
    reading = store.read

    async def read(key: str):  # type: ignore[no-untyped-def]
        store.down = True
        return await reading(key)

    store.read = read  # type: ignore[method-assign]
    assert await expect_refusal(claims, CALL) == (
        RefusalCode.store_unavailable,
        True,
    )


FAULT = st.sampled_from(('', '', 'not_applied', 'lost_before', 'lost_after'))
USE = st.tuples(
    st.lists(FAULT, max_size=4),
    st.sampled_from(('answered', 'not_run', 'dies')),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(USE, min_size=2, max_size=6), st.booleans())
def test_keyed_call_runs_at_most_once(
    uses: list[tuple[list[str], str]],
    together: bool,
) -> None:
    # Several daemons get the same call, sequentially or concurrently, while the
    # store fails in every way and daemons die in mid-call. If two of them sent
    # the call, its effect would happen twice.
    runs: list[str] = []

    async def use(store: FakeStore, name: str, outcome: str) -> None:
        claims = IdempotencyStore(store)
        try:
            claim = await claims.claim(replace(CALL, request_id=name))
        except RefusedError:
            return
        await asyncio.sleep(0)
        if outcome == 'not_run':
            await claims.on_not_run(claim)
            return
        runs.append(name)
        if outcome == 'answered':
            await claims.on_answered(claim, 200)

    async def run_uses() -> None:
        store = FakeStore()
        tasks = []
        for number, (faults, outcome) in enumerate(uses):
            store.write_faults.extend(faults)
            tasks.append(asyncio.create_task(use(store, f'{number}', outcome)))
            if not together:
                await tasks[-1]
        await asyncio.gather(*tasks)

    asyncio.run(run_uses())
    assert len(runs) <= 1
