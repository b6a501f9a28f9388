"""Weighted fair division of slots among classes, accounts and daemons."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

from quetzalcourse.state.generation import TrafficClass

if TYPE_CHECKING:
    from collections.abc import Mapping
    from datetime import timedelta

    from quetzalcourse.state.slots import QueueKey

Key = TypeVar('Key')
MIN_WEIGHT_FACTOR = 0.5
MAX_WEIGHT_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class AccountDemand:
    """Slots that one account could use through one daemon.

    :param wanted: number of its running and waiting requests.
    :param oldest: how long its oldest waiting request has waited.
    """

    requester: str
    key: QueueKey
    wanted: int
    oldest: timedelta


@dataclass(slots=True)
class SlotTarget:
    """Number of slots that a daemon should hold."""

    human: int = 0
    training: int = 0

    @property
    def total(self) -> int:
        """Slots of both classes."""
        return self.human + self.training


@dataclass(frozen=True, slots=True)
class FairnessState:
    """Inputs to the fair division between accounts.

    :param weights: weights of the accounts in the manifest; the default is 1.
    :param served: recent tokens by class and account.
    """

    weights: Mapping[int, float] = field(default_factory=dict)
    served: Mapping[QueueKey, float] = field(default_factory=dict)

    def get_weight(self, key: QueueKey) -> float:
        """Return the weight of an account."""
        return self.weights.get(key.account_id, 1.0)


def allocate_max_min(
    capacity: float,
    wanted: Mapping[Key, int],
    weights: Mapping[Key, float],
) -> dict[Key, float]:
    """Allocate a capacity by weighted max-min fairness.

    No key gets more than it wants.

    :param capacity: amount to allocate.
    :param wanted: largest amount that each key can use.
    :param weights: weight of each key when the capacity is scarce.
    """
    shares: dict[Key, float] = {}
    left = dict(wanted)
    while left:
        total = sum(weights[name] for name in left)
        offers = {
            name: max(capacity, 0) * weights[name] / total for name in left
        }
        full = [name for name, offer in offers.items() if left[name] <= offer]
        if not full:
            return shares | offers
        for name in full:
            shares[name] = float(left.pop(name))
            capacity -= shares[name]
    return shares


def round_shares(
    shares: Mapping[Key, float],
    wanted: Mapping[Key, int],
    order: Mapping[Key, float],
) -> dict[Key, int]:
    """Round shares to whole slots without changing their sum.

    :param order: keys with the lowest values get the remaining slots.
    """
    whole = {name: int(share) for name, share in shares.items()}
    left = round(sum(shares.values())) - sum(whole.values())
    for name in sorted(whole, key=order.__getitem__):
        if left > 0 and whole[name] < wanted[name]:
            whole[name] += 1
            left -= 1
    return whole


def divide_slots(
    slots: int,
    headroom: int,
    demands: list[AccountDemand],
    accounts: FairnessState,
) -> dict[str, SlotTarget]:
    """Compute how many slots each daemon should hold.

    Human requests are served first; training shares the rest except for the
    headroom.

    :param slots: number of requests that the upstream runs at once.
    :param headroom: number of slots that training leaves free.
    """
    targets: dict[str, SlotTarget] = defaultdict(SlotTarget)
    humans = _select(demands, TrafficClass.human)
    for requester, human in _divide_class(slots, humans, accounts).items():
        targets[requester].human = human
    used = sum(target.human for target in targets.values())
    training = _select(demands, TrafficClass.training)
    capacity = max(slots - used - headroom, 0)
    divided = _divide_class(capacity, training, accounts)
    for requester, count in divided.items():
        targets[requester].training = count
    return targets


def _select(
    demands: list[AccountDemand], traffic_class: TrafficClass
) -> list[AccountDemand]:
    return [
        demand
        for demand in demands
        if demand.key.traffic_class is traffic_class
    ]


def _divide_class(
    capacity: int,
    demands: list[AccountDemand],
    accounts: FairnessState,
) -> dict[str, int]:
    by_account: dict[QueueKey, list[AccountDemand]] = defaultdict(list)
    for demand in demands:
        by_account[demand.key].append(demand)
    wanted = {
        key: sum(demand.wanted for demand in group)
        for key, group in by_account.items()
    }
    if sum(wanted.values()) <= capacity:
        slots_by_account = wanted
    else:
        slots_by_account = _divide_accounts(capacity, wanted, accounts)
    totals: dict[str, int] = defaultdict(int)
    for account, group in by_account.items():
        for requester, count in _divide_daemons(
            slots_by_account[account], group
        ).items():
            totals[requester] += count
    return totals


def _divide_accounts(
    capacity: int,
    wanted: Mapping[QueueKey, int],
    accounts: FairnessState,
) -> dict[QueueKey, int]:
    weights = _correct_weights(wanted, accounts)
    shares = allocate_max_min(capacity, wanted, weights)
    weighted_service = {
        key: accounts.served.get(key, 0.0) / accounts.get_weight(key)
        for key in wanted
    }
    return round_shares(shares, wanted, weighted_service)


def _correct_weights(
    wanted: Mapping[QueueKey, int],
    accounts: FairnessState,
) -> dict[QueueKey, float]:
    # A slot generates fewer tokens for an account with long prompts, so equal
    # slots are not equal tokens. An account that got less than its share of the
    # recent tokens has its weight raised until it has caught up.
    weights = {key: accounts.get_weight(key) for key in wanted}
    served = sum(accounts.served.get(key, 0.0) for key in wanted)
    if not served:
        return weights
    scale = served / sum(weights.values())
    return {
        key: weight
        * _compute_factor(accounts.served.get(key, 0.0), weight, scale)
        for key, weight in weights.items()
    }


def _compute_factor(served: float, weight: float, scale: float) -> float:
    if served <= 0:
        return MAX_WEIGHT_FACTOR
    return min(
        max(weight * scale / served, MIN_WEIGHT_FACTOR), MAX_WEIGHT_FACTOR
    )


def _divide_daemons(slots: int, group: list[AccountDemand]) -> dict[str, int]:
    wanted = {demand.requester: demand.wanted for demand in group}
    total = sum(wanted.values())
    if slots >= total:
        return wanted
    shares = {name: slots * count / total for name, count in wanted.items()}
    # With fewer slots than daemons, the daemon whose request has waited longest
    # is next; otherwise a daemon that keeps its slot busy would never give it
    # up.
    ages = {
        demand.requester: -demand.oldest.total_seconds() for demand in group
    }
    return round_shares(shares, wanted, ages)
