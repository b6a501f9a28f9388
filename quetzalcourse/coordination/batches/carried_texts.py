"""Texts of ended batches that a later batch may use.

Under a shortage of upstreams a trainer ends a batch before all its groups are
complete, and submits the rest again in a later batch under the same item ids.
Generating them anew would take the slots that the shortage lacks, and the next
batch would fall behind as well. So the texts of an ended batch stay in memory:
an unfinished one is continued and a complete one is a result at once.
"""

from __future__ import annotations

import hashlib
from collections import Counter, OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.log import get_log
from quetzalcourse.state.batches import PartialText

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.coordination.batches.batch_run import BatchRun
    from quetzalcourse.coordination.batches.item_run import ItemRun
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.state.batches import BatchHead, BatchItem
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

# A trainer submits its next batch within seconds of the end of the last one,
# or after it has trained, which takes less than this.
MAX_AGE = timedelta(minutes=2)
MAX_TEXTS = 4096
MAX_BYTES = 8_000_000
DIGEST_BYTES = 16
# Client account, route, model and id of an item.
ItemKey = tuple[str, str, str, str]
log = get_log('batches')


@dataclass(frozen=True, slots=True)
class CarriedText:
    """Text of an item whose batch has ended.

    :param digest: digest of the item.
    :param size: bytes of the text.
    :param kept_at: time since boot at which its batch ended.
    """

    digest: bytes
    partial: PartialText
    size: int
    kept_at: timedelta


class CarriedTexts:
    """Texts of ended batches by item, bounded in number, bytes and age."""

    def __init__(
        self, pool: Pool, routes: RouteTable, clock: Clock, counters: Counters
    ) -> None:
        """Start without texts."""
        self._pool = pool
        self._routes = routes
        self._clock = clock
        self._counters = counters
        self._texts: OrderedDict[ItemKey, CarriedText] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        """Count the texts."""
        return len(self._texts)

    def keep(self, batch: BatchRun) -> None:
        """Keep the texts of a batch that ended.

        A caller that has not read the last results submits their groups again
        too. These come first, since they are the least likely to be used and
        the oldest texts are evicted first.
        """
        if not batch.head.model:
            return
        self._drop_expired()
        unfinished = {
            run.item.group for run in batch.items if not run.completed
        }
        runs = sorted(batch.items, key=lambda one: one.item.group in unfinished)
        for run in runs:
            partial = _build_text(run)
            if partial is not None:
                self._keep(batch.head, run.item, partial)
        self._evict()

    def restore(self, batch: BatchRun, others: Iterable[BatchRun]) -> None:
        """Continue a batch that starts from the texts of ended ones.

        :param others: batches that still run here. The end of one of them may
            arrive here after the batch that repeats its items.
        """
        head = batch.head
        if not head.model:
            return
        for other in others:
            if _is_repeated(other, batch):
                self.keep(other)
        self._drop_expired()
        outcomes = self._restore_items(batch)
        if not outcomes:
            return
        self._counters.add('carried_events', outcomes['events'])
        log.info(
            'Items of ended batches came again.',
            batch=head.id,
            step=head.step,
            whole=outcomes['whole'],
            partial=outcomes['partial'],
            events=outcomes['events'],
            old_version=outcomes['old_version'],
            mixed_versions=outcomes['mixed_versions'],
            changed_item=outcomes['changed_item'],
        )

    def _restore_items(self, batch: BatchRun) -> Counter[str]:
        """Restore the items of a batch, and count the outcomes."""
        outcomes: Counter[str] = Counter()
        for run in batch.items:
            found = self._take(build_key(batch.head, run.item))
            if found is None or not run.is_untouched:
                continue
            reason = self._find_obstacle(batch.head, run.item, found)
            if reason:
                self._counters.add('texts_not_carried', reason=reason)
                outcomes[reason] += 1
                continue
            kind = 'whole' if found.partial.whole else 'partial'
            outcomes[kind] += 1
            outcomes['events'] += len(found.partial.texts)
            self._counters.add('texts_carried', text=kind)
            batch.restore_item(run, found.partial)
        return outcomes

    def _find_obstacle(
        self, head: BatchHead, item: BatchItem, found: CarriedText
    ) -> str:
        """Return why a batch must not use a text, empty if it may."""
        versions = found.partial.versions
        if found.digest != compute_digest(item):
            return 'changed_item'
        if not versions or min(versions) < head.min_version:
            return 'old_version'
        if not head.single_version:
            return ''
        if len(versions) > 1:
            return 'mixed_versions'
        newest = self._find_newest_version(head)
        if not found.partial.whole and versions[0] < newest:
            # No upstream may hold its version any more.
            return 'mixed_versions'
        return ''

    def _find_newest_version(self, head: BatchHead) -> int:
        route = self._routes.find(head.route)
        if route is None:
            return 0
        return max(
            (
                upstream.find_version(head.model)
                for target in route.targets
                for upstream in self._pool.list_service(target.service)
            ),
            default=0,
        )

    def _keep(
        self, head: BatchHead, item: BatchItem, partial: PartialText
    ) -> None:
        key = build_key(head, item)
        known = self._texts.get(key)
        if known is not None and _is_longer(known.partial, partial):
            return
        self._take(key)
        size = sum(len(text.encode()) for text in partial.texts)
        now = self._clock.elapsed()
        digest = compute_digest(item)
        self._texts[key] = CarriedText(digest, partial, size, now)
        self._bytes += size

    def _take(self, key: ItemKey) -> CarriedText | None:
        found = self._texts.pop(key, None)
        if found is not None:
            self._bytes -= found.size
        return found

    def _drop_expired(self) -> None:
        oldest = self._clock.elapsed() - MAX_AGE
        while self._texts:
            key, text = next(iter(self._texts.items()))
            if text.kept_at >= oldest:
                return
            self._take(key)
            self._counters.add('texts_not_carried', reason='expired')

    def _evict(self) -> None:
        while len(self._texts) > MAX_TEXTS or self._bytes > MAX_BYTES:
            self._take(next(iter(self._texts)))
            self._counters.add('texts_not_carried', reason='evicted')


class NoCarriedTexts:
    """Keeps no texts: items that come again are generated anew."""

    def keep(self, batch: BatchRun) -> None:
        """Do nothing."""

    def restore(self, batch: BatchRun, others: Iterable[BatchRun]) -> None:
        """Do nothing."""


def build_key(head: BatchHead, item: BatchItem) -> ItemKey:
    """Build the key under which the text of an item is kept."""
    return head.client_account, head.route, head.model, item.id


def compute_digest(item: BatchItem) -> bytes:
    """Compute the digest of all that decides the text of an item."""
    headers = sorted(item.headers.items())
    return hashlib.blake2b(
        msgspec.msgpack.encode((item.path, headers, item.body)),
        digest_size=DIGEST_BYTES,
    ).digest()


def _build_text(run: ItemRun) -> PartialText | None:
    if run.last_event is None:
        return None
    return PartialText(
        run.item.id,
        list(run.texts),
        list(run.versions),
        run.last_event,
        whole=run.completed or run.text_complete,
    )


def _is_longer(known: PartialText, other: PartialText) -> bool:
    return (known.whole, known.last_event) > (other.whole, other.last_event)


def _is_repeated(other: BatchRun, batch: BatchRun) -> bool:
    """Tell whether a batch has items of another one."""
    head = batch.head
    known = other.head
    if (known.client_account, known.route, known.model) != (
        head.client_account,
        head.route,
        head.model,
    ):
        return False
    ids = {run.item.id for run in other.items}
    return any(run.item.id in ids for run in batch.items)
