"""Start-time fair queueing: the order of accounts that share slots.

Under a shortage, an account that sends most of the requests would otherwise
get most of the slots, and accounts with few requests would get almost none.
Each account has a virtual time that advances by the cost of its requests
divided by its weight; the waiting account with the lowest one is served next.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar('Key', bound=Hashable)
COST_SMOOTHING = 0.2


class FairOrder(Generic[Key]):
    """Virtual times of the accounts of several groups.

    The cost of a request is unknown when it starts, so the account's average
    is charged at the start and the difference at the end.

    :param find_group: returns the group of an account; accounts of different
        groups are not compared.
    :param find_weight: returns the weight of an account.
    :param initial_cost: charged to an account whose average is not known.
    """

    def __init__(
        self,
        find_group: Callable[[Key], Hashable],
        find_weight: Callable[[Key], float],
        initial_cost: float,
    ) -> None:
        """Start with all accounts equal."""
        self._find_group = find_group
        self._find_weight = find_weight
        self._initial_cost = initial_cost
        self._finish_tags: dict[Key, float] = {}
        self._average_costs: dict[Key, float] = {}
        self._virtual_times: dict[Hashable, float] = {}

    def compute_start_tag(self, key: Key) -> float:
        """Return the virtual time at which the next request would start.

        An account that was idle starts at the current virtual time: credit
        for its idle time would let it take all slots when it returns.
        """
        virtual_time = self._virtual_times.get(self._find_group(key), 0.0)
        return max(self._finish_tags.get(key, 0.0), virtual_time)

    def compute_step(self, key: Key) -> float:
        """Return by how much a request is expected to advance an account."""
        cost = self._average_costs.get(key, self._initial_cost)
        return cost / self._find_weight(key)

    def charge_start(self, key: Key) -> float:
        """Charge an account for a request that starts.

        :returns: the cost charged.
        """
        start = self.compute_start_tag(key)
        self._virtual_times[self._find_group(key)] = start
        estimate = self._average_costs.get(key, self._initial_cost)
        self._finish_tags[key] = start + estimate / self._find_weight(key)
        return estimate

    def charge_end(self, key: Key, charged: float, cost: float) -> None:
        """Charge the difference between a request's cost and its estimate.

        :param charged: cost charged for it by :meth:`charge_start`.
        """
        average = self._average_costs.get(key, cost)
        self._average_costs[key] = average + COST_SMOOTHING * (cost - average)
        self.refund(key, charged - cost)

    def refund(self, key: Key, charged: float) -> None:
        """Return what was charged for a request that did not run."""
        returned = charged / self._find_weight(key)
        self._finish_tags[key] = self._finish_tags.get(key, 0.0) - returned
