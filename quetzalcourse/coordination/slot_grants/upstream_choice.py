"""Selection of the upstreams whose owners are asked for slots.

Under a shortage of a service, all its upstreams are full; asking each owner for
every request would multiply the messages. Daemons spread over the upstreams by
hashing, and prefer those that granted slots or have not said to be full.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import xxhash

from quetzalcourse.coordination.slot_grants.service_demand import (
    ASK_INTERVAL,
    FULL_ASK_INTERVAL,
)

if TYPE_CHECKING:
    from collections.abc import Iterable
    from datetime import timedelta

    from quetzalcourse.coordination.slot_grants.service_demand import (
        ServiceDemand,
    )
    from quetzalcourse.coordination.slot_grants.upstream_usage import (
        UpstreamUsage,
    )


def choose_asked(
    demand: ServiceDemand,
    usages: Iterable[UpstreamUsage],
    own: str,
    now: timedelta,
) -> list[UpstreamUsage]:
    """Choose the upstreams whose owners are asked for slots.

    :param usages: the contended upstreams of the service.
    :param own: incarnation of this daemon.
    """
    if not demand.waiting:
        return []
    available = [one for one in usages if one.upstream.is_available(now)]
    ranked = sorted(available, key=partial(_rank, own, now))
    first = demand.count_asked()
    roomy = [one for one in ranked[first:] if not one.is_full(now)]
    full = [one for one in ranked[first:] if one.is_full(now)]
    return [
        *ranked[:first],
        *roomy[: demand.count_asked_late(now, ASK_INTERVAL)],
        *full[: demand.count_asked_late(now, FULL_ASK_INTERVAL)],
    ]


def _rank(
    own: str, now: timedelta, usage: UpstreamUsage
) -> tuple[bool, bool, bool, bool, int]:
    """Rank an upstream; the lowest is asked first."""
    allowance = usage.allowance
    granted = allowance is not None and allowance.count_usable(now) > 0
    name = f'{usage.upstream.name}/{own}'
    return (
        not granted,
        usage.uses_fallback(now),
        usage.is_full(now),
        not usage.waiting,
        xxhash.xxh32_intdigest(name.encode()),
    )
