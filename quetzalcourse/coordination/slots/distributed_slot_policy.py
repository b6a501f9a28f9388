"""Policy by which the owner of each upstream grants its slots."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.upstream_choice import (
    PATIENCE,
    choose_upstream,
    is_due,
)
from quetzalcourse.coordination.slots.owned_slots import (
    Answers,
    OwnedSlots,
    list_fallback,
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
    """Asks owners for slots, and grants those of the upstreams owned here.

    Reports to this daemon's own upstreams take no message and no time. The
    others are collected for a moment unless a human waits.

    :param members: daemons that are live.
    :param link: carries reports and allowances.
    """

    def __init__(
        self,
        members: MemberView,
        link: SlotLink,
        clock: Clock,
        terms: SlotTimings | None = None,
    ) -> None:
        """Begin without upstreams."""
        self._members = members
        self._link = link
        self._clock = clock
        self._terms = terms or SlotTimings()
        self.owned = OwnedSlots(members.own, self._terms)
        self._upstreams: dict[str, Upstream] = {}
        self._usages: dict[str, LocalSlotState] = {}
        self._waiters: dict[int, SlotWaiter] = {}
        self._humans: dict[int, SlotWaiter] = {}
        self._due: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._batching = False
        self._hurrying = False
        self._stopped = False
        self._on_free: Callable[[str], None] = _ignore
        self._on_revoked: Callable[[str, int], None] = _ignore
        link.subscribe(self._take_reports, self._take_allowances)
        members.on_change(self.on_members)

    def listen(
        self,
        on_free: Callable[[str], None],
        on_revoked: Callable[[str, int], None],
    ) -> None:
        """Say whom to tell of changes."""
        self._on_free = on_free
        self._on_revoked = on_revoked

    def on_start(self) -> None:
        """Begin to renew allowances and to ask further owners."""
        self._spawn(self._renew())

    async def on_stop(self) -> None:
        """End every task."""
        self._stopped = True
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_manifest(self, manifest: Manifest) -> None:
        """Take the upstreams and weights that came into force."""
        self._upstreams = dict(manifest.upstreams)
        weights = {
            hash_name(account.name): account.weight
            for account in manifest.client_accounts.values()
        }
        self.owned.on_manifest(self._upstreams, weights)
        self.on_members()

    def on_members(self) -> None:
        """Find the owners anew; those that changed hear of our slots."""
        now = self._clock.elapsed()
        own = self._members.own
        self.owned.on_members(self._members.list_live(own.data_centre), now)
        for usage in self._usages.values():
            if self._place(usage, now) and not usage.is_idle(now):
                self._schedule(usage.upstream)

    def may_start(self, upstream: str, traffic_class: TrafficClass) -> bool:
        """Tell whether one more request may run on an upstream."""
        usage = self._usages.get(upstream)
        if usage is None or upstream not in self._upstreams:
            return False
        return usage.may_start(traffic_class, self._clock.elapsed())

    def on_started(self, upstream: str, key: QueueKey) -> None:
        """Count a request that begins to run."""
        self._find_usage(upstream).on_started(key, self._clock.elapsed())

    def on_released(self, upstream: str, key: QueueKey, tokens: int) -> None:
        """Count a request that runs no more."""
        usage = self._find_usage(upstream)
        usage.on_released(key, tokens)
        loop = asyncio.get_running_loop()
        loop.call_soon(self._offer, usage)

    def on_queued(self, waiter: SlotWaiter) -> None:
        """Ask an owner for a request for which there was no room."""
        self._waiters[waiter.order] = waiter
        self._ask(waiter)
        if waiter.key.traffic_class is TrafficClass.human:
            self._humans[waiter.order] = waiter
            if not (self._hurrying or self._stopped):
                self._hurrying = True
                self._spawn(self._hurry())

    def on_unqueued(self, waiter: SlotWaiter) -> None:
        """Ask no more for a request that waits no more."""
        self._waiters.pop(waiter.order, None)
        self._humans.pop(waiter.order, None)
        for name in waiter.asked:
            usage = self._find_usage(name)
            times = usage.waiting[waiter.key]
            times.pop(waiter.order)
            if not times:
                usage.waiting.pop(waiter.key)

    def _ask(self, waiter: SlotWaiter) -> None:
        name = choose_upstream(
            waiter, self._upstreams, self._members.own, self._find_usage
        )
        if name is None:
            return
        waiter.asked.append(name)
        times = self._find_usage(name).waiting.setdefault(waiter.key, {})
        times[waiter.order] = waiter.queued
        if waiter.key.traffic_class is TrafficClass.human:
            self._report((name,))
        else:
            self._schedule(name)

    def _offer(self, usage: LocalSlotState) -> None:
        # Runs after the slot could be used again here: what is still idle
        # then is what others may be waiting for.
        now = self._clock.elapsed()
        missed = usage.is_missed(now)
        if usage.is_lowered(now) or (missed and usage.count_revoked(now)):
            self._report((usage.upstream,))
        elif missed:
            self._schedule(usage.upstream)

    def _schedule(self, upstream: str) -> None:
        if self._find_usage(upstream).owner == self._members.own.incarnation:
            self._report((upstream,))
            return
        self._due.add(upstream)
        if not (self._batching or self._stopped):
            self._batching = True
            self._spawn(self._flush())

    async def _flush(self) -> None:
        await self._clock.sleep(self._terms.batch)
        self._batching = False
        due = tuple(sorted(self._due))
        self._due.clear()
        self._report(due)

    async def _hurry(self) -> None:
        while self._humans:
            await self._clock.sleep(PATIENCE[TrafficClass.human])
            self._repeat_unanswered(self._clock.elapsed())
        self._hurrying = False

    def _repeat_unanswered(self, now: timedelta) -> None:
        # A report or its answer was lost. The next renewal would repeat it,
        # but until then a human waits beside slots that are free.
        names = {
            name for waiter in self._humans.values() for name in waiter.asked
        }
        usages = [self._find_usage(name) for name in sorted(names)]
        self._report(
            [usage.upstream for usage in usages if usage.is_unanswered(now)]
        )

    async def _renew(self) -> None:
        while True:
            await self._clock.sleep(self._terms.renewal / TICKS_PER_RENEWAL)
            self.on_tick()

    def on_tick(self) -> None:
        """Renew what is old, ask further owners and see what lapsed."""
        now = self._clock.elapsed()
        old = [
            usage.upstream
            for usage in self._usages.values()
            if now - usage.reported >= self._terms.renewal
            and not usage.is_idle(now)
        ]
        self._report(old)
        self._deliver(self.owned.decide_all(now))
        for waiter in tuple(self._waiters.values()):
            if is_due(waiter, now):
                self._ask(waiter)
        for usage in tuple(self._usages.values()):
            revoked = usage.count_revoked(now)
            if revoked:
                self._on_revoked(usage.upstream, revoked)
            if usage.waiting:
                self._on_free(usage.upstream)

    def _report(self, names: Iterable[str]) -> None:
        now = self._clock.elapsed()
        batches: dict[str, list[SlotReport]] = defaultdict(list)
        for name in names:
            usage = self._find_usage(name)
            self._due.discard(name)
            if usage.owner:
                batches[usage.owner].append(usage.make_report(now))
        for owner, reports in batches.items():
            self._send_reports(owner, reports, now)

    def _send_reports(
        self,
        owner: str,
        reports: list[SlotReport],
        now: timedelta,
    ) -> None:
        if owner == self._members.own.incarnation:
            self._deliver(self.owned.on_reports(owner, reports, now))
            return
        member = self._find_member(owner)
        if member is not None:
            self._link.send_reports(member, tuple(reports))

    def _take_reports(
        self,
        sender: Member,
        reports: tuple[SlotReport, ...],
    ) -> None:
        now = self._clock.elapsed()
        self._deliver(self.owned.on_reports(sender.incarnation, reports, now))

    def _deliver(self, answers: Answers) -> None:
        own = self._members.own
        for name, allowances in answers.items():
            if name == own.incarnation:
                self._take_allowances(own, tuple(allowances))
                continue
            member = self._find_member(name)
            if member is not None:
                self._link.send_allowances(member, tuple(allowances))

    def _take_allowances(
        self,
        sender: Member,
        allowances: tuple[Allowance, ...],
    ) -> None:
        now = self._clock.elapsed()
        for allowance in allowances:
            usage = self._usages.get(allowance.upstream)
            if usage is None or usage.owner != sender.incarnation:
                continue
            if not usage.on_allowance(allowance, now):
                continue
            self._on_revoked(usage.upstream, usage.count_revoked(now))
            self._on_free(usage.upstream)
            self._offer(usage)

    def _find_usage(self, upstream: str) -> LocalSlotState:
        usage = self._usages.get(upstream)
        if usage is None:
            usage = LocalSlotState(upstream, self._terms)
            self._usages[upstream] = usage
            self._place(usage, self._clock.elapsed())
        return usage

    def _place(self, usage: LocalSlotState, now: timedelta) -> bool:
        upstream = self._upstreams.get(usage.upstream)
        if upstream is None:
            return usage.follow_owner('', 0, now)
        members = self._members.list_live(upstream.data_centre)
        owner = find_owner(upstream.name, members)
        shares = list_fallback(upstream, members)
        own = self._members.own.incarnation
        name = owner.incarnation if owner is not None else ''
        return usage.follow_owner(name, shares.get(own, 0), now)

    def _find_member(self, incarnation: str) -> Member | None:
        for member in self._members.list_live():
            if member.incarnation == incarnation:
                return member
        return None

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _ignore(*_: object) -> None:
    """Take no note: nobody listens yet."""
