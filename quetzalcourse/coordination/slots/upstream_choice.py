"""Which owners a waiting request asks for a slot."""

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

MAX_ASKED = 6
OWN_ASKED = 3
ACTIVE_DETOUR = 0.25
IDLE_DETOUR = 0.5
PATIENCE = {
    TrafficClass.human: timedelta(milliseconds=200),
    TrafficClass.training: timedelta(seconds=1),
}


def is_due(waiter: SlotWaiter, now: timedelta) -> bool:
    """Tell whether a request has waited long enough to ask once more."""
    asked = len(waiter.asked)
    if asked >= MAX_ASKED:
        return False
    patience = PATIENCE[waiter.key.traffic_class]
    return now - waiter.queued >= patience * asked


def choose_upstream(
    waiter: SlotWaiter,
    upstreams: Mapping[str, Upstream],
    own: Member,
    find_usage: Callable[[str], LocalSlotState],
) -> str | None:
    """Choose the next upstream to ask.

    Upstreams of the own data centre come first; after some of them others
    follow, cheapest first. One without an owner can't be asked.

    :param own: this daemon.
    :param find_usage: finds what this daemon has at an upstream.
    """
    usages = [
        find_usage(name)
        for name in waiter.request.candidates
        if name in upstreams and name not in waiter.asked
    ]
    askable = [usage for usage in usages if usage.owner]
    near: list[LocalSlotState] = []
    far: list[LocalSlotState] = []
    for usage in askable:
        centre = upstreams[usage.upstream].data_centre
        (near if centre == own.data_centre else far).append(usage)
    if near and (len(waiter.asked) < OWN_ASKED or not far):
        rank = partial(_rank_near, upstreams, own.incarnation)
        return min(near, key=rank).upstream
    if not far:
        return None
    return min(far, key=partial(_rank_far, upstreams)).upstream


def _rank_near(
    upstreams: Mapping[str, Upstream],
    own: str,
    usage: LocalSlotState,
) -> float:
    # Each pair of a daemon and an owner exchanges messages as long as it is
    # in use. Spread over all owners, they would take more than all traffic
    # for control may; so a daemon first fills what it owns, then what it
    # uses anyway, and spreads with its load.
    detour = 0.0
    if usage.owner != own:
        detour = ACTIVE_DETOUR if usage.total else IDLE_DETOUR
    return detour + _rank_load(upstreams, usage)


def _rank_load(
    upstreams: Mapping[str, Upstream], usage: LocalSlotState
) -> float:
    busy = usage.total + sum(len(times) for times in usage.waiting.values())
    crowded = usage.allowance is not None and usage.allowance.contended
    return busy / upstreams[usage.upstream].slots + int(crowded)


def _rank_far(
    upstreams: Mapping[str, Upstream],
    usage: LocalSlotState,
) -> tuple[float, float]:
    price = upstreams[usage.upstream].price_per_hour
    return (price, _rank_load(upstreams, usage))
