"""Tests that the rows of a batch stay within the store's limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest
from result import Ok, Result

from quetzalcourse.coordination.batches.batch_rows import (
    CHUNK_BYTES,
    HEAD,
    ITEMS,
    MAX_PARTIALS,
    MAX_TRANSACTION_ROWS,
    PARTIALS,
    PROGRESS,
    RESULTS,
    TRANSACTION_BYTES,
    BatchRows,
    name_result,
    name_row,
    pack_partials,
    split_items,
    split_results,
)
from quetzalcourse.state.batches import (
    BatchItem,
    ItemResult,
    PartialText,
    ResultState,
)
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.feeds import FakeFeed

if TYPE_CHECKING:
    from quetzalcourse.state.rows import (
        Row,
        StoreFault,
        Transaction,
        TransactionResult,
    )

LARGE = CHUNK_BYTES + 1
HALF = CHUNK_BYTES // 2


class PartTable(FakeFeed):
    """Table that can be scanned by part."""

    def __init__(self) -> None:
        """Create an empty table."""
        super().__init__(FakeClock())
        self.transaction_sizes: list[int] = []

    @property
    def version(self) -> int:
        """Version of the row that was written last."""
        return self._version

    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionResult, StoreFault]:
        """Write rows and record how many."""
        self.transaction_sizes.append(len(transaction.writes))
        return await super().transact(transaction)

    async def scan(
        self, prefix: str, after: str = '', limit: int = 500
    ) -> Result[list[Row], StoreFault]:
        """Read the rows of a part in key order."""
        return Ok(
            [
                row
                for key, row in sorted(self.rows.items())
                if key.startswith(prefix) and key > after
            ][:limit]
        )


def build_partial(size: int) -> PartialText:
    """Build the text of an unfinished item.

    :param size: its length in bytes.
    """
    return PartialText('i', ['x' * size], [1], 1)


def test_only_the_text_that_is_too_large_is_skipped() -> None:
    # One item has more text than fits into a row. If the other texts were
    # skipped with it, the next owner would generate all of them again, and
    # the step would be late.
    packed = pack_partials({0: build_partial(LARGE), 1: build_partial(1)})
    assert [rank for rank, _ in packed] == [1]


def test_texts_stay_within_the_size_limit_of_a_transaction() -> None:
    # A long text does not fit after the others; a short one still does.
    count = TRANSACTION_BYTES // HALF
    partials = dict.fromkeys(range(count + 1), build_partial(HALF))
    partials[count + 1] = build_partial(1)
    packed = pack_partials(partials)
    assert sum(len(content) for _, content in packed) <= TRANSACTION_BYTES
    assert packed[-1][0] == count + 1


def test_texts_stay_within_the_row_limit_of_a_transaction() -> None:
    partials = dict.fromkeys(range(MAX_PARTIALS + 5), build_partial(1))
    assert len(pack_partials(partials)) == MAX_PARTIALS


async def test_rows_of_another_writer_leave_a_batch_readable() -> None:
    # Guards against a row in the part of a batch that keeps its results from
    # every reader, and the batch from its next owner.
    store = PartTable()
    rows = BatchRows(store)
    result = ItemResult('i', ResultState.completed, 'text')
    item = BatchItem('i', '/', {}, b'')
    for key, content in (
        (name_result('b', 0), split_results([result])[0]),
        (f'{ITEMS}/b/0000', split_items([item])[0]),
        (f'{PARTIALS}/b/0000', msgspec.msgpack.encode(build_partial(1))),
        (f'{PARTIALS}/b/0001', b'\xff'),
    ):
        store.put(key, content)
    for table in (RESULTS, ITEMS, PARTIALS):
        store.put(f'{table}/b/odd', b'[' * 9999)
    assert (await rows.read_results('b', 0)).unwrap() == [result]
    assert (await rows.read_items('b')).unwrap() == [item]
    assert (await rows.read_partials('b')).unwrap() == [build_partial(1)]


# Size of a step to design for; a long text takes more than one row.
LARGE_STEP_SAMPLES = 1024
PIECE_BYTES = 20


def put_results(store: PartTable, count: int) -> list[ItemResult]:
    """Write results, each of them in several rows."""
    results = [
        ItemResult(f'i-{number}', ResultState.completed, 'text')
        for number in range(count)
    ]
    for position, result in enumerate(results):
        packed = split_results([result])[0]
        for begin in range(0, len(packed), PIECE_BYTES):
            piece = begin // PIECE_BYTES
            store.put(
                name_result('b', position, piece),
                packed[begin : begin + PIECE_BYTES],
            )
    return results


@pytest.mark.parametrize('known', [0, 1, 500, 960, LARGE_STEP_SAMPLES])
async def test_results_of_a_large_step_are_read_whole(known: int) -> None:
    # Guards against results that can't be read, or are made again, because
    # the store returns no more than a page of their rows.
    store = PartTable()
    results = put_results(store, LARGE_STEP_SAMPLES)
    found = await BatchRows(store).read_results('b', known)
    assert found.unwrap() == results[known:]


async def test_items_and_texts_beyond_a_page_are_read() -> None:
    # Guards against items of a large step that its next owner never runs.
    store = PartTable()
    items = [BatchItem(f'i-{number}', '/', {}, b'') for number in range(600)]
    for number, item in enumerate(items):
        store.put(f'{ITEMS}/b/{number:04d}', split_items([item])[0])
        partial = msgspec.msgpack.encode(build_partial(1))
        store.put(f'{PARTIALS}/b/{number:04d}', partial)
    rows = BatchRows(store)
    assert (await rows.read_items('b')).unwrap() == items
    assert len((await rows.read_partials('b')).unwrap()) == len(items)


async def test_large_batch_is_removed_within_the_limits_of_the_store() -> None:
    # Guards against batches that are never removed because the store refuses
    # to delete all of their rows at once.
    store = PartTable()
    put_results(store, 150)
    store.put(name_row('b', HEAD), b'{}')
    store.put(name_row('b', PROGRESS), b'150')
    store.put(name_result('other', 0), b'[]')
    removed = await BatchRows(store).remove('b')
    assert removed.is_ok()
    assert max(store.transaction_sizes) <= MAX_TRANSACTION_ROWS
    kept = [key for key, row in store.rows.items() if not row.removed]
    assert kept == [name_result('other', 0)]
    assert store.rows[name_row('b', HEAD)].version == store.version
