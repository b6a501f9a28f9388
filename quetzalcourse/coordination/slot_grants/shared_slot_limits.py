"""Limits of requests at upstreams that all daemons agree on under contention.

Under a burst, daemons with old load reports overfill the same upstreams. While
an upstream has room, each daemon decides on its own; from the first refusal or
waiting request on, it starts only what the upstream's owner granted.
"""

from __future__ import annotations

import random
from collections import defaultdict
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slot_grants.allowance import Allowance
from quetzalcourse.coordination.slot_grants.contention import (
    CONTENTION_HOLD,
    MIN_CONTENTION_WAIT,
    RefusalPause,
)
from quetzalcourse.coordination.slot_grants.service_demand import (
    ServiceDemand,
    split_requests,
)
from quetzalcourse.coordination.slot_grants.upstream_choice import (
    choose_asked,
)
from quetzalcourse.coordination.slot_grants.upstream_usage import (
    FULL_TTL,
    UpstreamUsage,
)
from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from quetzalcourse.coordination.admission.slot_limits import SlotLimits
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.slot_grants.grant_exchange import (
        GrantExchange,
    )
    from quetzalcourse.coordination.slot_grants.messages import (
        ContentionNotice,
        Grant,
    )
    from quetzalcourse.coordination.slot_grants.slot_groups import (
        OwnerDirectory,
    )
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

MILLISECOND = timedelta(milliseconds=1)
log = get_log('slots')


class SharedSlotLimits:
    """Implements ``SlotLimits`` with grants from the owners of slots.

    :param local: decides while an upstream is not contended.
    :param defer: calls a function after the current call, so that no listener
        runs inside a call of its own.
    :param generator: varies the pauses of daemons.
    """

    def __init__(
        self,
        local: SlotLimits,
        pool: Pool,
        directory: OwnerDirectory,
        exchange: GrantExchange,
        clock: Clock,
        counters: Counters,
        defer: Callable[[Callable[[], None]], object],
        generator: random.Random | None = None,
    ) -> None:
        """Subscribe to the messages of other daemons."""
        self._local = local
        self._pool = pool
        self._directory = directory
        self._exchange = exchange
        self._clock = clock
        self._counters = counters
        self._defer = defer
        self._random = generator or random.Random()
        self._usages: dict[tuple[str, int], UpstreamUsage] = {}
        self._demands: dict[str, ServiceDemand] = defaultdict(ServiceDemand)
        self._listeners: list[Callable[[str], None]] = []
        self._activity_listeners: list[Callable[[], None]] = []
        self._freed: set[str] = set()
        self._contended: dict[str, timedelta] = {}
        exchange.listen(self._on_grant, self._on_notice, self._report_activity)

    @property
    def active(self) -> bool:
        """Whether :meth:`on_tick` has to be called."""
        now = self._clock.elapsed()
        if self._exchange.owners.active or self._demands:
            return True
        return any(
            usage.is_known_to_owner or usage.contention.is_active(now)
            for usage in self._usages.values()
        )

    def on_activity(self, listener: Callable[[], None]) -> None:
        """Call a listener when contention begins or a message arrives."""
        self._activity_listeners.append(listener)

    def has_free_slot(self, upstream: Upstream) -> bool:
        """Tell whether another request may be sent to an upstream now."""
        usage = self._usages.get(upstream.run_id)
        now = self._clock.elapsed()
        if usage is None or not usage.contention.is_active(now):
            return self._local.has_free_slot(upstream)
        if usage.has_granted_slot(now):
            return True
        if usage.uses_fallback(now):
            fallback = self._directory.count_fallback(upstream)
            return usage.has_fallback_slot(fallback, now)
        # Until the owner says that its slots don't suffice, attempts of this
        # daemon's own find the slots that are idle.
        if usage.is_full(now) or not usage.pause.is_over(now):
            return False
        return self._local.has_free_slot(upstream)

    def on_waiting(self, service: str, waiting: Mapping[str, int]) -> None:
        """Record how many requests wait for a service, and ask for slots."""
        now = self._clock.elapsed()
        if not waiting and service not in self._demands:
            return
        demand = self._demands[service]
        demand.update(waiting, now)
        if demand.waiting:
            self._report_activity()
        self._assign(service, now)
        self._report_due(service, now)

    def on_sent(self, upstream: Upstream, client_account: str) -> None:
        """Count a request that is sent to an upstream."""
        self._local.on_sent(upstream, client_account)
        now = self._clock.elapsed()
        usage = self._find_usage(upstream)
        usage.on_sent(client_account)
        if usage.contention.is_active(now) and usage.uses_fallback(now):
            self._counters.add('slot_fallback_starts')
        demand = self._demands.get(upstream.member.service)
        if demand is not None:
            demand.on_started(client_account, now)

    def on_ended(self, upstream: Upstream, client_account: str) -> None:
        """Stop counting a request that ended, and return its slot if idle."""
        usage = self._find_usage(upstream)
        usage.on_ended(client_account)
        self._local.on_ended(upstream, client_account)
        self._report_due(upstream.member.service, self._clock.elapsed())

    def on_full(self, upstream: Upstream) -> None:
        """Record that an upstream was full, before the request's end."""
        self._local.on_full(upstream)
        now = self._clock.elapsed()
        usage = self._find_usage(upstream)
        usage.pause.on_refused(now)
        self._counters.add('slot_overfills')
        if usage.pause.is_repeated:
            self._on_sign(usage, 'refused', now)

    def on_free(self, listener: Callable[[str], None]) -> None:
        """Call a listener with a service whose slots may have become free."""
        self._listeners.append(listener)
        self._local.on_free(listener)

    def on_tick(self) -> None:
        """Report changed demand, divide owned slots and end contention."""
        now = self._clock.elapsed()
        for usage in tuple(self._usages.values()):
            self._update(usage, now)
        self._end_contention(now)
        for service in tuple(self._demands):
            self._check_waiting(service, now)
            self._assign(service, now)
            self._notify_if_free(service)
        for service in self._list_services():
            self._report_due(service, now)
        self._exchange.on_tick()

    def report_metrics(self) -> None:
        """Set the gauges."""
        now = self._clock.elapsed()
        usages = self._usages.values()
        owned = self._exchange.owners.count(now)
        gauges = {
            'slots_contended': sum(
                one.contention.is_active(now) for one in usages
            ),
            'slot_fallbacks': sum(one.uses_fallback(now) for one in usages),
            'slot_groups_owned': owned.groups,
            'slots_not_granted': owned.foreign_slots,
        }
        for name, level in gauges.items():
            self._counters.set(name, level)

    def _list_services(self) -> set[str]:
        """List the services whose upstreams this daemon uses."""
        usages = self._usages.values()
        return {usage.upstream.member.service for usage in usages}

    def _find_usage(self, upstream: Upstream) -> UpstreamUsage:
        usage = self._usages.get(upstream.run_id)
        if usage is None:
            usage = UpstreamUsage(upstream, RefusalPause(self._random))
            self._usages[upstream.run_id] = usage
        return usage

    def _is_registered(self, usage: UpstreamUsage) -> bool:
        """Tell whether this run of an upstream still has a registration."""
        current = self._pool.find(usage.upstream.name)
        return current is not None and current.run_id == usage.upstream.run_id

    def _check_waiting(self, service: str, now: timedelta) -> None:
        """Tell whether requests wait for too long to be coincidence."""
        if self._demands[service].find_longest_wait(now) < MIN_CONTENTION_WAIT:
            return
        for upstream in self._pool.list_service(service):
            usage = self._find_usage(upstream)
            if not usage.contention.is_active(now):
                self._on_sign(usage, 'waiting', now)

    def _on_sign(
        self,
        usage: UpstreamUsage,
        reason: str,
        now: timedelta,
        hold: timedelta = CONTENTION_HOLD,
    ) -> None:
        if not usage.contention.on_sign(now, hold):
            return
        if usage.running:
            self._ask(usage)
        upstream = usage.upstream
        service = upstream.member.service
        if service not in self._contended:
            self._contended[service] = now
            group = self._directory.find_own_group(upstream)
            owner = self._directory.find_owner(group, upstream)
            log.info(
                'Contention at a service began.',
                service=service,
                upstream=upstream.name,
                owner=owner.vm if owner else '',
                reason=reason,
            )
        self._report_activity()

    def _report_activity(self) -> None:
        for listener in self._activity_listeners:
            listener()

    def _update(self, usage: UpstreamUsage, now: timedelta) -> None:
        """Expire the grants and the contention of an upstream."""
        allowance = usage.allowance
        if allowance is not None:
            if allowance.lapse(now) and usage.waiting:
                self._counters.add('slot_allowances_lapsed')
            self._update_owner(usage, allowance)
        if usage.waiting and usage.uses_fallback(now):
            usage.contention.on_sign(now)
        if not self._is_registered(usage):
            usage.contention.until = now
        if not usage.contention.is_active(now):
            usage.waiting = {}
            if not usage.running and not usage.is_known_to_owner:
                self._usages.pop(usage.upstream.run_id)

    def _end_contention(self, now: timedelta) -> None:
        """Log the services that are no longer contended."""
        active = {
            usage.upstream.member.service
            for usage in self._usages.values()
            if usage.contention.is_active(now)
        }
        for service in self._contended.keys() - active:
            since = self._contended.pop(service)
            log.info(
                'Contention at a service ended.',
                service=service,
                seconds=round((now - since).total_seconds(), 1),
            )

    def _update_owner(self, usage: UpstreamUsage, allowance: Allowance) -> None:
        group = self._directory.find_own_group(usage.upstream)
        owner = self._directory.find_owner(group, usage.upstream)
        if allowance.group != group:
            allowance = Allowance(group)
            usage.allowance = allowance
        now = self._clock.elapsed()
        allowance.on_owner(owner.incarnation if owner else '', now)

    def _assign(self, service: str, now: timedelta) -> None:
        """Deal the waiting requests of a service out to its upstreams."""
        demand = self._demands[service]
        usages = [
            usage
            for usage in self._usages.values()
            if usage.upstream.member.service == service
            and usage.contention.is_active(now)
        ]
        own = self._directory.own.incarnation
        asked = choose_asked(demand, usages, own, now)
        split = split_requests(demand.waiting, len(asked))
        for usage in usages:
            usage.waiting = {}
        for usage, waiting in zip(asked, split, strict=True):
            usage.waiting = waiting
            self._ask(usage)
        if not demand.waiting:
            self._demands.pop(service)

    def _ask(self, usage: UpstreamUsage) -> None:
        if usage.allowance is None:
            group = self._directory.find_own_group(usage.upstream)
            usage.allowance = Allowance(group)
            self._update_owner(usage, usage.allowance)

    def _report_due(self, service: str, now: timedelta) -> None:
        demand = self._demands.get(service) or ServiceDemand()
        self._exchange.send_reports(
            [
                (usage.allowance.owner, usage.make_report(demand, now))
                for usage in tuple(self._usages.values())
                if usage.upstream.member.service == service
                and usage.allowance is not None
                and usage.is_report_due(now)
            ]
        )

    def _on_grant(self, owner: str, grant: Grant) -> None:
        now = self._clock.elapsed()
        upstream = self._pool.find(grant.upstream)
        if upstream is None:
            return
        usage = self._usages.get(upstream.run_id)
        if usage is None or usage.allowance is None:
            return
        allowance = usage.allowance
        expected = (allowance.owner, allowance.group.index)
        if expected != (owner, grant.group):
            return
        if not allowance.on_grant(grant, now):
            return
        if grant.contended:
            usage.contention.on_sign(now, FULL_TTL)
        if grant.slots:
            usage.pause.on_granted()
        usage.on_answer(now, full=grant.contended)
        self._notify_if_free(usage.upstream.member.service)

    def _on_notice(self, notice: ContentionNotice) -> None:
        upstream = self._pool.find(notice.upstream)
        if upstream is not None:
            usage = self._find_usage(upstream)
            now = self._clock.elapsed()
            hold = notice.valid_ms * MILLISECOND
            usage.on_notice(hold, now)
            self._on_sign(usage, 'notice', now, hold)

    def _notify_if_free(self, service: str) -> None:
        demand = self._demands.get(service)
        if demand is None or not demand.waiting:
            return
        upstreams = self._pool.list_service(service)
        if any(self.has_free_slot(one) for one in upstreams):
            self._notify_free(service)

    def _notify_free(self, service: str) -> None:
        if not self._freed:
            self._defer(self._call_listeners)
        self._freed.add(service)

    def _call_listeners(self) -> None:
        freed = tuple(self._freed)
        self._freed.clear()
        for service in freed:
            for listener in self._listeners:
                listener(service)
