"""Slot policy in which one owner daemon grants the slots of each upstream."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.upstream_choice import (
    ASK_INTERVALS,
    choose_upstream,
    is_next_ask_due,
)
from quetzalcourse.coordination.slots.owned_slots import (
    AllowancesByRequester,
    OwnedSlots,
    list_fallback_shares,
)
from quetzalcourse.coordination.slots.ownership import find_owner, hash_name
from quetzalcourse.coordination.slots.local_slot_state import LocalSlotState
from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.slots import SlotTimings

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable
    from datetime import timedelta

    from quetzalcourse.coordination.ports import MemberView, SlotLink
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.manifest import Manifest, Upstream
    from quetzalcourse.state.members import Member
    from quetzalcourse.state.slots import (
        Allowance,
        QueueKey,
        SlotReport,
        SlotWaiter,
    )

TICKS_PER_RENEWAL = 4


class DistributedSlotPolicy:
    """Requests slots from owners and grants those of the upstreams owned here.

    Reports on upstreams owned by this daemon need no message and take effect at
    once. Reports to other owners are batched briefly unless a human request
    waits.

    :param members: the live daemons.
    :param link: carries reports and allowances between daemons.
    """

    def __init__(
        self,
        members: MemberView,
        link: SlotLink,
        clock: Clock,
        terms: SlotTimings | None = None,
    ) -> None:
        """Create without upstreams."""
        self._members = members
        self._link = link
        self._clock = clock
        self._terms = terms or SlotTimings()
        self.owned = OwnedSlots(members.own, self._terms)
        self._upstreams: dict[str, Upstream] = {}
        self._slot_states: dict[str, LocalSlotState] = {}
        self._waiters: dict[int, SlotWaiter] = {}
        self._human_waiters: dict[int, SlotWaiter] = {}
        self._pending_reports: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._flush_scheduled = False
        self._retrying = False
        self._stopped = False
        self._on_free: Callable[[str], None] = _ignore
        self._on_revoked: Callable[[str, int], None] = _ignore
        link.subscribe(self._on_reports, self._on_allowances)
        members.on_change(self.on_members)

    def listen(
        self,
        on_free: Callable[[str], None],
        on_revoked: Callable[[str, int], None],
    ) -> None:
        """Register the callbacks for free and revoked slots."""
        self._on_free = on_free
        self._on_revoked = on_revoked

    def on_start(self) -> None:
        """Start renewing allowances and asking further owners."""
        self._spawn(self._renew())

    async def on_stop(self) -> None:
        """Cancel all tasks."""
        self._stopped = True
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_manifest(self, manifest: Manifest) -> None:
        """Apply the upstreams and account weights of a new manifest."""
        self._upstreams = dict(manifest.upstreams)
        weights = {
            hash_name(account.name): account.weight
            for account in manifest.client_accounts.values()
        }
        self.owned.on_manifest(self._upstreams, weights)
        self.on_members()

    def on_members(self) -> None:
        """Recompute the owners and report the slots in use to new ones."""
        now = self._clock.elapsed()
        own = self._members.own
        self.owned.on_members(self._members.list_live(own.data_centre), now)
        for state in self._slot_states.values():
            if self._update_owner(state, now) and not state.is_idle(now):
                self._schedule_report(state.upstream)

    def may_start(self, upstream: str, traffic_class: TrafficClass) -> bool:
        """Check whether one more request may run on an upstream."""
        state = self._slot_states.get(upstream)
        if state is None or upstream not in self._upstreams:
            return False
        return state.may_start(traffic_class, self._clock.elapsed())

    def on_started(self, upstream: str, key: QueueKey) -> None:
        """Count a request that starts to run."""
        self._get_slot_state(upstream).on_started(key, self._clock.elapsed())

    def on_released(self, upstream: str, key: QueueKey, tokens: int) -> None:
        """Stop counting a request that finished."""
        state = self._get_slot_state(upstream)
        state.on_released(key, tokens)
        loop = asyncio.get_running_loop()
        loop.call_soon(self._report_idle_slots, state)

    def on_queued(self, waiter: SlotWaiter) -> None:
        """Ask an owner for a slot for a request that could not start."""
        self._waiters[waiter.order] = waiter
        self._ask_next_owner(waiter)
        if waiter.key.traffic_class is TrafficClass.human:
            self._human_waiters[waiter.order] = waiter
            if not (self._retrying or self._stopped):
                self._retrying = True
                self._spawn(self._retry_for_humans())

    def on_unqueued(self, waiter: SlotWaiter) -> None:
        """Stop asking for a request that no longer waits."""
        self._waiters.pop(waiter.order, None)
        self._human_waiters.pop(waiter.order, None)
        for name in waiter.asked:
            state = self._get_slot_state(name)
            times = state.waiting[waiter.key]
            times.pop(waiter.order)
            if not times:
                state.waiting.pop(waiter.key)

    def _ask_next_owner(self, waiter: SlotWaiter) -> None:
        name = choose_upstream(
            waiter, self._upstreams, self._members.own, self._get_slot_state
        )
        if name is None:
            return
        waiter.asked.append(name)
        times = self._get_slot_state(name).waiting.setdefault(waiter.key, {})
        times[waiter.order] = waiter.queued
        if waiter.key.traffic_class is TrafficClass.human:
            self._report((name,))
        else:
            self._schedule_report(name)

    def _report_idle_slots(self, state: LocalSlotState) -> None:
        # Runs after a queued request of this daemon could have taken the slot:
        # whatever is still idle may be needed by other daemons.
        now = self._clock.elapsed()
        wanted = state.has_wanted_idle_slots(now)
        if state.must_confirm_reduction(now) or (
            wanted and state.count_revoked(now)
        ):
            self._report((state.upstream,))
        elif wanted:
            self._schedule_report(state.upstream)

    def _schedule_report(self, upstream: str) -> None:
        if (
            self._get_slot_state(upstream).owner
            == self._members.own.incarnation
        ):
            self._report((upstream,))
            return
        self._pending_reports.add(upstream)
        if not (self._flush_scheduled or self._stopped):
            self._flush_scheduled = True
            self._spawn(self._flush())

    async def _flush(self) -> None:
        await self._clock.sleep(self._terms.batch)
        self._flush_scheduled = False
        due = tuple(sorted(self._pending_reports))
        self._pending_reports.clear()
        self._report(due)

    async def _retry_for_humans(self) -> None:
        while self._human_waiters:
            await self._clock.sleep(ASK_INTERVALS[TrafficClass.human])
            self._resend_unanswered(self._clock.elapsed())
        self._retrying = False

    def _resend_unanswered(self, now: timedelta) -> None:
        # The report or its answer was lost. The next renewal would repeat the
        # report, but until then a human request would wait although slots are
        # free.
        names = {
            name
            for waiter in self._human_waiters.values()
            for name in waiter.asked
        }
        states = [self._get_slot_state(name) for name in sorted(names)]
        self._report(
            [state.upstream for state in states if state.is_unanswered(now)]
        )

    async def _renew(self) -> None:
        while True:
            await self._clock.sleep(self._terms.renewal / TICKS_PER_RENEWAL)
            self.on_tick()

    def on_tick(self) -> None:
        """Renew old reports, ask further owners and expire allowances."""
        now = self._clock.elapsed()
        stale = [
            state.upstream
            for state in self._slot_states.values()
            if now - state.reported_at >= self._terms.renewal
            and not state.is_idle(now)
        ]
        self._report(stale)
        self._send_allowances(self.owned.decide_all(now))
        for waiter in tuple(self._waiters.values()):
            if is_next_ask_due(waiter, now):
                self._ask_next_owner(waiter)
        for state in tuple(self._slot_states.values()):
            revoked = state.count_revoked(now)
            if revoked:
                self._on_revoked(state.upstream, revoked)
            if state.waiting:
                self._on_free(state.upstream)

    def _report(self, names: Iterable[str]) -> None:
        now = self._clock.elapsed()
        batches: dict[str, list[SlotReport]] = defaultdict(list)
        for name in names:
            state = self._get_slot_state(name)
            self._pending_reports.discard(name)
            if state.owner:
                batches[state.owner].append(state.make_report(now))
        for owner, reports in batches.items():
            self._send_reports(owner, reports, now)

    def _send_reports(
        self,
        owner: str,
        reports: list[SlotReport],
        now: timedelta,
    ) -> None:
        if owner == self._members.own.incarnation:
            self._send_allowances(self.owned.on_reports(owner, reports, now))
            return
        member = self._find_member(owner)
        if member is not None:
            self._link.send_reports(member, tuple(reports))

    def _on_reports(
        self,
        sender: Member,
        reports: tuple[SlotReport, ...],
    ) -> None:
        now = self._clock.elapsed()
        self._send_allowances(
            self.owned.on_reports(sender.incarnation, reports, now)
        )

    def _send_allowances(self, answers: AllowancesByRequester) -> None:
        own = self._members.own
        for name, allowances in answers.items():
            if name == own.incarnation:
                self._on_allowances(own, tuple(allowances))
                continue
            member = self._find_member(name)
            if member is not None:
                self._link.send_allowances(member, tuple(allowances))

    def _on_allowances(
        self,
        sender: Member,
        allowances: tuple[Allowance, ...],
    ) -> None:
        now = self._clock.elapsed()
        for allowance in allowances:
            state = self._slot_states.get(allowance.upstream)
            if state is None or state.owner != sender.incarnation:
                continue
            if not state.on_allowance(allowance, now):
                continue
            self._on_revoked(state.upstream, state.count_revoked(now))
            self._on_free(state.upstream)
            self._report_idle_slots(state)

    def _get_slot_state(self, upstream: str) -> LocalSlotState:
        state = self._slot_states.get(upstream)
        if state is None:
            state = LocalSlotState(upstream, self._terms)
            self._slot_states[upstream] = state
            self._update_owner(state, self._clock.elapsed())
        return state

    def _update_owner(self, state: LocalSlotState, now: timedelta) -> bool:
        upstream = self._upstreams.get(state.upstream)
        if upstream is None:
            return state.update_owner('', 0, now)
        members = self._members.list_live(upstream.data_centre)
        owner = find_owner(upstream.name, members)
        shares = list_fallback_shares(upstream, members)
        own = self._members.own.incarnation
        name = owner.incarnation if owner is not None else ''
        return state.update_owner(name, shares.get(own, 0), now)

    def _find_member(self, incarnation: str) -> Member | None:
        for member in self._members.list_live():
            if member.incarnation == incarnation:
                return member
        return None

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _ignore(*_: object) -> None:
    """Ignore a call made before a listener is registered."""
