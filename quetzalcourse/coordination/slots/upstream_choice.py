"""Selection of the upstreams whose owners are asked for a slot."""

from __future__ import annotations

from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

from quetzalcourse.state.generation import TrafficClass

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from quetzalcourse.coordination.slots.local_slot_state import LocalSlotState
    from quetzalcourse.state.manifest import Upstream
    from quetzalcourse.state.members import Member
    from quetzalcourse.state.slots import SlotWaiter

MAX_ASKED_UPSTREAMS = 6
LOCAL_ASKS_FIRST = 3
IN_USE_UPSTREAM_PENALTY = 0.25
UNUSED_UPSTREAM_PENALTY = 0.5
ASK_INTERVALS = {
    TrafficClass.human: timedelta(milliseconds=200),
    TrafficClass.training: timedelta(seconds=1),
}


def is_next_ask_due(waiter: SlotWaiter, now: timedelta) -> bool:
    """Check whether a request has waited long enough to ask another owner."""
    asked = len(waiter.asked)
    if asked >= MAX_ASKED_UPSTREAMS:
        return False
    interval = ASK_INTERVALS[waiter.key.traffic_class]
    return now - waiter.queued >= interval * asked


def choose_upstream(
    waiter: SlotWaiter,
    upstreams: Mapping[str, Upstream],
    own: Member,
    get_slot_state: Callable[[str], LocalSlotState],
) -> str | None:
    """Choose the next upstream to ask for a slot.

    Upstreams of this daemon's data centre come first; after a few of them,
    upstreams of other data centres follow, cheapest first. An upstream without
    an owner can't be asked.

    :param own: this daemon.
    :param get_slot_state: returns this daemon's slot state of an upstream.
    """
    states = [
        get_slot_state(name)
        for name in waiter.request.candidates
        if name in upstreams and name not in waiter.asked
    ]
    askable = [state for state in states if state.owner]
    local: list[LocalSlotState] = []
    remote: list[LocalSlotState] = []
    for state in askable:
        centre = upstreams[state.upstream].data_centre
        (local if centre == own.data_centre else remote).append(state)
    if local and (len(waiter.asked) < LOCAL_ASKS_FIRST or not remote):
        rank = partial(_score_local, upstreams, own.incarnation)
        return min(local, key=rank).upstream
    if not remote:
        return None
    return min(remote, key=partial(_score_remote, upstreams)).upstream


def _score_local(
    upstreams: Mapping[str, Upstream],
    own: str,
    state: LocalSlotState,
) -> float:
    # Each pair of a daemon and an owner exchanges messages as long as it is in
    # use. Spread over all owners, these messages would exceed the limit on
    # control traffic; so a daemon first fills the upstreams that it owns, then
    # those that it already uses, and spreads out as its load grows.
    penalty = 0.0
    if state.owner != own:
        penalty = (
            IN_USE_UPSTREAM_PENALTY if state.total else UNUSED_UPSTREAM_PENALTY
        )
    return penalty + _compute_load(upstreams, state)


def _compute_load(
    upstreams: Mapping[str, Upstream], state: LocalSlotState
) -> float:
    busy = state.total + sum(len(times) for times in state.waiting.values())
    is_contended = state.allowance is not None and state.allowance.contended
    return busy / upstreams[state.upstream].slots + int(is_contended)


def _score_remote(
    upstreams: Mapping[str, Upstream],
    state: LocalSlotState,
) -> tuple[float, float]:
    price = upstreams[state.upstream].price_per_hour
    return (price, _compute_load(upstreams, state))
