"""Tests that the rows of a batch stay within the store's limits."""

from __future__ import annotations

from quetzalcourse.coordination.batches.batch_rows import (
    CHUNK_BYTES,
    MAX_PARTIALS,
    TRANSACTION_BYTES,
    pack_partials,
)
from quetzalcourse.state.batches import PartialText

LARGE = CHUNK_BYTES + 1
HALF = CHUNK_BYTES // 2


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
