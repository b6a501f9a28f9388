"""How the daemons that run batches share the slots of upstreams.

The load that this answers: two trainers submit their steps within the same
few milliseconds, each to another home, and together they have twice as many
items as there are slots. Homes that each take what looks free fill every
upstream twice: half of the items wait in queues inside the upstreams, where
nothing can overtake them, the longest ones of a step among them. So homes
tell each other what they took and how urgent their waiting items are, and a
free slot is for the most urgent one. Each upstream has a home that goes
first among those that are about as urgent, so that two of them that begin
together need not wait for each other's word.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.ownership import find_owner
from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from quetzalcourse.coordination.forwarding.pool import Pool, Upstream
    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.members import Member

# A home tells of its slots at least once a second while it has any; one
# that was silent for longer is gone or cut off, and what it took is free.
NEWS_LIFE = timedelta(seconds=1.5)
# Trainers submit every few seconds. A home without a batch for longer has
# no upstreams kept for it any more.
HOME_LIFE = timedelta(seconds=15)
# An item goes before those of the home that an upstream is kept for if it
# must begin this much sooner. Less would pass slots to and fro between homes
# that are alike, each time idle until the other one has heard of it.
FIRST_MARGIN = timedelta(seconds=1)
# Between homes that begin at the same moment: the time for their news to
# pass each other, data centres of a region being a few milliseconds apart.
SETTLING = timedelta(milliseconds=15)
# What the home that goes first has not taken by then it can't take, as of
# an upstream that failed there.
CLAIM_LIFE = timedelta(milliseconds=200)
# Slots are looked for at least this often while items wait.
CLAIM_GAP = timedelta(milliseconds=120)
log = get_log('homes')


@dataclass(frozen=True, slots=True)
class Want:
    """What decides whether any slot is free for an item.

    :param oldest: oldest weight version that may make its tokens.
    """

    service: str
    model: str
    oldest: int


@dataclass(frozen=True, slots=True)
class Waiting:
    """Items of one kind that wait for a slot.

    :param latest_start: time since boot at which the most urgent one of
        them has to begin to be whole in time.
    """

    want: Want
    latest_start: timedelta


@dataclass(slots=True)
class Claim:
    """Free slot that is kept for the home that goes first.

    :param taken: items that this home has there.
    :param since: since when it has had as many while a slot was free.
    :param seen: when that was last found so.
    """

    taken: int
    since: timedelta
    seen: timedelta


@dataclass(slots=True)
class OtherHome:
    """Another daemon that runs batches, as it told last.

    :param taken: its running items at each upstream.
    """

    member: Member
    heard: timedelta
    taken: dict[str, int] = field(default_factory=dict)
    waiting: tuple[Waiting, ...] = ()


class SlotShares:
    """Knows what the other homes took, and which slots are this one's.

    :param members: this daemon and the live ones.
    """

    def __init__(self, members: MemberView, pool: Pool, clock: Clock) -> None:
        """Begin as the only home."""
        self._members = members
        self._pool = pool
        self._clock = clock
        self._homes: dict[str, OtherHome] = {}
        self._firsts: dict[str, str] = {}
        self._firsts_of: set[str] = set()
        self._settled_at = timedelta(0)
        self._claims: dict[str, Claim] = {}

    def list_others(self) -> list[Member]:
        """List the other daemons that ran batches lately."""
        self._forget_old()
        return [home.member for home in self._homes.values()]

    def on_begin(self) -> None:
        """Learn that a batch begins here."""
        self._settled_at = self._clock.elapsed() + SETTLING

    def on_news(
        self,
        sender: Member,
        taken: Mapping[str, int],
        waiting: Collection[Waiting],
        *,
        whole: bool,
    ) -> None:
        """Take what another home tells.

        :param taken: its running items at the upstreams, all or changed ones.
        """
        now = self._clock.elapsed()
        home = self._homes.get(sender.vm)
        if home is None or home.member.incarnation != sender.incarnation:
            home = OtherHome(sender, now)
            self._homes[sender.vm] = home
            log.info('Another home shares upstreams.', peer=sender.vm)
        home.heard = now
        home.waiting = tuple(waiting)
        before = set(home.taken)
        if whole:
            home.taken = {}
        home.taken |= taken
        self._forget_old()
        for name in before | home.taken.keys():
            self._count(name, now)

    def may_take(self, upstream: Upstream, latest_start: timedelta) -> bool:
        """Tell whether a free slot of an upstream may be taken here.

        :param latest_start: when the item has to begin to be whole in time.
        """
        if not self._homes:
            return True
        now = self._clock.elapsed()
        first = self._find_first(upstream.name)
        if first == self._members.own.vm:
            mine = latest_start
        elif now < self._settled_at:
            return False
        else:
            mine = latest_start + FIRST_MARGIN
        return not any(
            self._goes_before(vm, home, upstream, mine, first, now)
            for vm, home in self._homes.items()
        )

    def _goes_before(
        self,
        vm: str,
        home: OtherHome,
        upstream: Upstream,
        mine: timedelta,
        first: str,
        now: timedelta,
    ) -> bool:
        """Tell whether another home's items go before one of this home."""
        if now - home.heard > NEWS_LIFE:
            return False
        margin = timedelta(0) if vm == first else FIRST_MARGIN
        wanted = any(
            one.latest_start + margin < mine and _fits(upstream, one.want, now)
            for one in home.waiting
        )
        return wanted and not self._is_left(upstream.name, home, now)

    def _is_left(self, name: str, home: OtherHome, now: timedelta) -> bool:
        """Tell whether the home that goes first left a free slot alone."""
        taken = home.taken.get(name, 0)
        claim = self._claims.get(name)
        if (
            claim is None
            or claim.taken != taken
            or now - claim.seen > CLAIM_GAP
        ):
            claim = Claim(taken, now, now)
            self._claims[name] = claim
        claim.seen = now
        return now - claim.since >= CLAIM_LIFE

    def _count(self, name: str, now: timedelta) -> None:
        upstream = self._pool.find(name)
        if upstream is None:
            return
        upstream.taken = sum(
            home.taken.get(name, 0)
            for home in self._homes.values()
            if now - home.heard <= NEWS_LIFE
        )
        upstream.taken_until = now + NEWS_LIFE

    def _find_first(self, name: str) -> str:
        """Find the VM of the home that goes first at an upstream."""
        if self._homes.keys() != self._firsts_of:
            self._firsts_of = set(self._homes)
            self._firsts.clear()
            self._claims.clear()
        if name not in self._firsts:
            own = self._members.own
            homes = [own, *(home.member for home in self._homes.values())]
            first = find_owner(name, homes)
            self._firsts[name] = first.vm if first is not None else own.vm
        return self._firsts[name]

    def _forget_old(self) -> None:
        oldest = self._clock.elapsed() - HOME_LIFE
        for vm, home in list(self._homes.items()):
            if home.heard < oldest:
                self._homes.pop(vm)


def _fits(upstream: Upstream, want: Want, now: timedelta) -> bool:
    if upstream.member.service != want.service:
        return False
    return upstream.fits(want.model, want.oldest, now)
