"""Builds the components that connect a daemon with the other daemons."""

from __future__ import annotations

import os
import random
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from result import Ok

from quetzalcourse.coordination.membership.partitions import (
    PartitionTracker,
    StoreFreshness,
)
from quetzalcourse.coordination.manifest.store_poller import StorePoller
from quetzalcourse.coordination.manifest.key_gossip import KeyGossip
from quetzalcourse.coordination.manifest.key_change_log import KeyChangeLog
from quetzalcourse.coordination.manifest.manifest_gossip import ManifestGossip
from quetzalcourse.coordination.membership.membership import (
    Digest,
    Membership,
    MembershipTimings,
)
from quetzalcourse.state.members import Member
from quetzalcourse.transport.peer_link import PeerLink

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.manifest.keys import KeyRing
    from quetzalcourse.coordination.manifest.manifest_store import ManifestStore
    from quetzalcourse.lifecycle import Lifecycle
    from quetzalcourse.settings.process import ProcessSettings
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.members import Vm
    from quetzalcourse.transport.platform_client import PlatformClient

LINK_CLEANUP_INTERVAL = timedelta(seconds=10)
SEEDS_REFRESH_INTERVAL = timedelta(seconds=10)
SECRET_BYTES = 32


class Peering:
    """Peer link, membership and gossip of a daemon.

    :param incarnation: id of this run of the daemon.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        incarnation: str,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Open the peer link, which fixes the address."""
        self._settings = settings
        self._clock = clock
        self._counters = counters
        self._random = random.Random()
        self._vm_listeners: list[Callable[[list[Vm]], None]] = []
        secrets = [secret.encode() for secret in settings.peering.secrets]
        self.link = PeerLink(
            settings.listen.peers,
            secrets or [os.urandom(SECRET_BYTES)],
            clock,
            counters,
        )
        own = Member(
            settings.vm,
            incarnation,
            settings.data_centre,
            self.link.address,
        )
        self.members = self._build_members(own)

    def build_store_sync(
        self,
        platform: PlatformClient,
        manifest: ManifestStore,
        keys: KeyRing,
    ) -> None:
        """Build the store poller and the gossip of manifests and keys.

        :param manifest: receives newer versions.
        :param keys: receives grants and withdrawals.
        """
        self._platform = platform
        self._manifest = manifest
        self._keys = keys
        refresh_interval = timedelta(
            seconds=self._settings.platform.refresh_seconds
        )
        self.store_poller = StorePoller(
            platform,
            manifest,
            KeyChangeLog(platform),
            keys,
            self.members,
            self._clock,
            self._random,
            refresh_interval,
        )
        self.freshness = StoreFreshness(self.store_poller, self._clock)
        self.partitions = PartitionTracker(
            self.store_poller, self.members, self._clock, self._counters
        )
        gossip_dependencies = (
            self.members,
            self.link,
            self._clock,
            self._random,
            self._counters,
        )
        self.members.on_digest(
            ManifestGossip(manifest, *gossip_dependencies).on_digest
        )
        self.members.on_digest(KeyGossip(keys, *gossip_dependencies).on_digest)
        self.members.on_digest(self.freshness.on_digest)
        self.members.build_digest = self._build_digest
        keys.is_current = self._is_current

    def on_vms(self, listener: Callable[[list[Vm]], None]) -> None:
        """Register a listener for each list of VMs from the platform."""
        self._vm_listeners.append(listener)

    async def start(self, lifecycle: Lifecycle) -> None:
        """Start membership, gossip and the polling of the store."""
        self.link.start(self.members.own)
        lifecycle.run('membership', self.members.run)
        lifecycle.run('seeds', self._refresh_seeds)
        await self.store_poller.poll()
        lifecycle.run('store', self.store_poller.run)
        lifecycle.run('links', self._close_unused_links)
        lifecycle.run('cuts', self.partitions.run)

    async def stop(self) -> None:
        """Announce to the other daemons that this one ends; close the link."""
        self.members.announce_gone()
        self.link.stop()

    def describe(self) -> dict[str, Any]:
        """Return the state of peering for ``/status``."""
        age = self.freshness.find_age()
        return {
            'incarnation': self.members.own.incarnation,
            'leaving': self.members.own.leaving,
            'live': len(self.members.list_live()),
            'live_here': len(
                self.members.list_live(self._settings.data_centre)
            ),
            'key_changes': len(self._keys.records),
            'key_changes_unstored': len(self.store_poller.list_unstored()),
            'news_age_seconds': age.total_seconds() if age else None,
            'cut_since': {
                name: since.isoformat()
                for name, since in self.partitions.list_partitions().items()
            },
        }

    def _build_members(self, own: Member) -> Membership:
        peering = self._settings.peering
        members = Membership(
            own,
            self.link,
            self._clock,
            self._random,
            self._counters,
            MembershipTimings(
                tick=timedelta(seconds=peering.tick_seconds),
                suspicion_timeout=timedelta(seconds=peering.suspicion_seconds),
            ),
        )
        members.on_own_change(self.link.update_own_member)
        members.replace_seeds(peering.seeds)
        return members

    def _build_digest(self) -> Digest:
        return Digest(
            self._manifest.current.version,
            self._keys.hash_records(),
            self.freshness.find_age(),
        )

    def _is_current(self) -> bool:
        max_age = self._settings.peering.refuse_keys_after_seconds
        return self.freshness.is_current(
            timedelta(seconds=max_age) if max_age else None
        )

    async def _refresh_seeds(self) -> None:
        while True:
            answer = await self._platform.list_vms()
            if isinstance(answer, Ok):
                vms = answer.ok_value
                seeds = list(self._settings.peering.seeds)
                self.members.replace_seeds(seeds + [vm.address for vm in vms])
                self.members.note_leaving(
                    vm.address for vm in vms if vm.leaving
                )
                for listener in self._vm_listeners:
                    listener(vms)
            local_members = self.members.list_live(self._settings.data_centre)
            await self._clock.sleep(SEEDS_REFRESH_INTERVAL * len(local_members))

    async def _close_unused_links(self) -> None:
        while True:
            await self._clock.sleep(LINK_CLEANUP_INTERVAL)
            self.link.close_idle_sockets()
