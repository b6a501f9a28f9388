"""Hints about which prompt prefixes each engine has in its prefix cache."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.state.engines import CacheChange

PREFIX_CHARACTERS = 64
MAX_PREFIXES = 256


def hash_prefix(prompt: str) -> int:
    """Hash the prefix of a prompt, so that no prompt has to be stored."""
    return xxhash.xxh64_intdigest(prompt[:PREFIX_CHARACTERS].encode())


class RecentPrefixes:
    """Bounded LRU set of prefix hashes of one engine."""

    def __init__(self) -> None:
        self._prefixes: OrderedDict[int, None] = OrderedDict()

    def __contains__(self, prefix: int) -> bool:
        """Return whether a prefix is in the set."""
        return prefix in self._prefixes

    def add(self, prefix: int) -> None:
        """Add a prefix as the most recently used one."""
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def remove(self, prefix: int) -> None:
        """Remove a prefix, if it is in the set."""
        self._prefixes.pop(prefix, None)


class EnginePrefixes:
    """Presumed content of one engine's prefix cache.

    :ivar sequence: number of the last change that was received.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self._sent = RecentPrefixes()
        self._reported = RecentPrefixes()

    def holds(self, prefix: int) -> bool:
        """Return whether a prefix is probably in the cache."""
        return prefix in self._sent or prefix in self._reported

    def on_sent(self, prefix: int) -> None:
        """Record that this daemon sent a prompt to the engine."""
        self._sent.add(prefix)

    def on_change(self, change: CacheChange) -> None:
        """Apply one cache change that the engine reported."""
        # After a gap it is unknown which reported prefixes were evicted in
        # between. Trusting them would send prompts to engines with a cold
        # cache, so only the prefixes that this daemon sent are kept.
        if change.sequence <= self.sequence:
            return
        if change.sequence != self.sequence + 1:
            self._reported = RecentPrefixes()
        self.sequence = change.sequence
        prefix = hash_prefix(change.prefix)
        if change.stored:
            self._reported.add(prefix)
        else:
            self._reported.remove(prefix)
            self._sent.remove(prefix)


class PrefixCacheHints:
    """Presumed content of all engines' caches.

    Cache changes arrive late and with gaps, so these are hints only.
    """

    def __init__(self) -> None:
        self._engines: dict[str, EnginePrefixes] = {}

    def keep_only(self, names: Iterable[str]) -> None:
        """Drop the hints about engines that no longer exist.

        :param names: engines of the manifest.
        """
        remaining = set(names)
        self._engines = {
            name: prefixes
            for name, prefixes in self._engines.items()
            if name in remaining
        }

    def holds(self, name: str, prefix: int) -> bool:
        """Return whether an engine probably holds a prefix."""
        prefixes = self._engines.get(name)
        return prefixes is not None and prefixes.holds(prefix)

    def find_last_sequence(self, name: str) -> int:
        """Return the number of the last received change, 0 without one."""
        prefixes = self._engines.get(name)
        return prefixes.sequence if prefixes else 0

    def on_sent(self, name: str, prefix: int) -> None:
        """Record that this daemon sent a prompt to an engine."""
        self._find(name).on_sent(prefix)

    def on_changes(self, name: str, changes: Iterable[CacheChange]) -> None:
        """Apply cache changes that an engine reported, in any order."""
        prefixes = self._find(name)
        for change in sorted(changes, key=lambda change: change.sequence):
            prefixes.on_change(change)

    def on_restart(self, name: str) -> None:
        """Drop the hints about an engine whose cache is lost."""
        self._engines.pop(name, None)

    def _find(self, name: str) -> EnginePrefixes:
        return self._engines.setdefault(name, EnginePrefixes())
