"""Fair queue of this daemon's waiting requests, by class and account."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from quetzalcourse.state.generation import TrafficClass

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from quetzalcourse.state.slots import QueueKey, SlotWaiter

WaitersByOrder = dict[int, 'SlotWaiter']
COST_SMOOTHING = 0.2


class FairQueue:
    """Start-time fair queueing, measured in tokens.

    Each account has a virtual time, which advances by its tokens divided by its
    weight; the waiting account with the lowest one is served next. The number
    of tokens a request will generate is unknown when it starts, so the
    account's average is charged at the start and the difference at the end.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.weights: Mapping[int, float] = {}
        self._queues: dict[QueueKey, dict[frozenset[str], WaitersByOrder]] = {}
        self._finish_tags: dict[QueueKey, float] = {}
        self._average_costs: dict[QueueKey, float] = {}
        self._virtual_times: dict[TrafficClass, float] = {}
        self._lengths: Counter[QueueKey] = Counter()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(self._lengths.values())

    def count(self, key: QueueKey) -> int:
        """Return the number of waiting requests of one class and account."""
        return self._lengths.get(key, 0)

    def push(self, waiter: SlotWaiter) -> None:
        """Append a request to the queue of its account."""
        queues = self._queues.setdefault(waiter.key, {})
        candidates = frozenset(waiter.request.candidates)
        queues.setdefault(candidates, {})[waiter.order] = waiter
        self._lengths[waiter.key] += 1

    def remove(self, waiter: SlotWaiter) -> bool:
        """Remove a request.

        :returns: whether it was still queued.
        """
        queues = self._queues.get(waiter.key, {})
        candidates = frozenset(waiter.request.candidates)
        queue = queues.get(candidates, {})
        if queue.pop(waiter.order, None) is None:
            return False
        self._lengths[waiter.key] -= 1
        if not queue:
            queues.pop(candidates)
        if not queues:
            self._queues.pop(waiter.key)
            self._lengths.pop(waiter.key)
        return True

    def find_next(
        self,
        upstream: str,
        traffic_class: TrafficClass,
    ) -> SlotWaiter | None:
        """Find the request that an upstream should run next."""
        keys = [
            key for key in self._queues if key.traffic_class is traffic_class
        ]
        for key in sorted(keys, key=self._compute_start_tag):
            heads = [
                next(iter(queue.values()))
                for candidates, queue in self._queues[key].items()
                if upstream in candidates
            ]
            if heads:
                return min(heads, key=lambda waiter: waiter.order)
        return None

    def charge_start(self, key: QueueKey) -> float:
        """Charge an account for a request that starts.

        :returns: the number of tokens charged.
        """
        start = self._compute_start_tag(key)
        self._virtual_times[key.traffic_class] = start
        estimate = self._average_costs.get(key, 1.0)
        self._finish_tags[key] = start + estimate / self._get_weight(key)
        return estimate

    def charge_end(self, key: QueueKey, charged: float, tokens: int) -> None:
        """Charge the difference between a request's tokens and its estimate.

        :param charged: tokens charged for it by :meth:`charge_start`.
        """
        cost = max(float(tokens), 1.0)
        average = self._average_costs.get(key, cost)
        self._average_costs[key] = average + COST_SMOOTHING * (cost - average)
        difference = (cost - charged) / self._get_weight(key)
        self._finish_tags[key] = self._finish_tags.get(key, 0.0) + difference

    def iter_waiters(self) -> Iterator[SlotWaiter]:
        """Iterate over all waiting requests."""
        for key in self._queues:
            yield from self._iter_account(key)

    def choose_victim(self) -> SlotWaiter:
        """Choose the request to reject when the queue is full.

        Training is rejected first, then the account with the longest queue
        relative to its weight; within that account, the request with the
        earliest deadline, which is the least likely to be served in time.
        """
        training = [
            key
            for key in self._queues
            if key.traffic_class is TrafficClass.training
        ]
        longest = max(
            training or self._queues,
            key=lambda key: self._lengths[key] / self._get_weight(key),
        )
        return min(
            self._iter_account(longest),
            key=lambda waiter: (waiter.request.deadline, waiter.order),
        )

    def _iter_account(self, key: QueueKey) -> Iterator[SlotWaiter]:
        for queue in self._queues[key].values():
            yield from queue.values()

    def _compute_start_tag(self, key: QueueKey) -> float:
        # An account that was idle starts at the current virtual time: credit
        # for its idle time would let it take all slots when it returns.
        virtual_time = self._virtual_times.get(key.traffic_class, 0.0)
        return max(self._finish_tags.get(key, 0.0), virtual_time)

    def _get_weight(self, key: QueueKey) -> float:
        return self.weights.get(key.account_id, 1.0)
