"""Hints on which engine holds which prompt prefix in its cache."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.state.engines import CacheChange

PREFIX_LENGTH = 64
MAX_PREFIXES = 256


def hash_prefix(prompt: str) -> int:
    """Name the prefix of a prompt, so that no prompt need be kept."""
    return xxhash.xxh64_intdigest(prompt[:PREFIX_LENGTH].encode())


class RecentPrefixes:
    """Prefixes of one engine, the least recently used forgotten first."""

    def __init__(self) -> None:
        """Begin empty."""
        self._prefixes: OrderedDict[int, None] = OrderedDict()

    def __contains__(self, prefix: int) -> bool:
        """Tell whether a prefix is remembered."""
        return prefix in self._prefixes

    def add(self, prefix: int) -> None:
        """Remember a prefix as the one used last."""
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def remove(self, prefix: int) -> None:
        """Forget a prefix."""
        self._prefixes.pop(prefix, None)


class EnginePrefixes:
    """What is believed of one engine's cache."""

    def __init__(self) -> None:
        """Begin without a hint."""
        self.sequence = 0
        self._placed = RecentPrefixes()
        self._reported = RecentPrefixes()

    def holds(self, prefix: int) -> bool:
        """Tell whether a prefix is probably in the cache."""
        return prefix in self._placed or prefix in self._reported

    def on_sent(self, prefix: int) -> None:
        """Learn that this daemon sent a prompt there."""
        self._placed.add(prefix)

    def on_change(self, change: CacheChange) -> None:
        """Learn of one change that the engine told."""
        # After a gap nobody knows which reported prefixes went out in the
        # meantime. Trusting them would send prompts to cold engines, so
        # only this daemon's own placements are kept.
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
            self._placed.remove(prefix)


class PrefixCacheHints:
    """What is believed of all engines' caches, late and with gaps."""

    def __init__(self) -> None:
        """Begin without hints."""
        self._engines: dict[str, EnginePrefixes] = {}

    def keep_only(self, names: Iterable[str]) -> None:
        """Forget the engines that are gone.

        :param names: engines that the manifest has.
        """
        known = set(names)
        self._engines = {
            name: prefixes
            for name, prefixes in self._engines.items()
            if name in known
        }

    def holds(self, name: str, prefix: int) -> bool:
        """Tell whether an engine probably holds a prefix."""
        prefixes = self._engines.get(name)
        return prefixes is not None and prefixes.holds(prefix)

    def find_last_sequence(self, name: str) -> int:
        """Tell the sequence of the last change that was heard of."""
        prefixes = self._engines.get(name)
        return prefixes.sequence if prefixes else 0

    def on_sent(self, name: str, prefix: int) -> None:
        """Learn that this daemon sent a prompt to an engine."""
        self._find(name).on_sent(prefix)

    def on_changes(self, name: str, changes: Iterable[CacheChange]) -> None:
        """Learn of changes that an engine told, in any order."""
        prefixes = self._find(name)
        for change in sorted(changes, key=lambda one: one.sequence):
            prefixes.on_change(change)

    def on_restart(self, name: str) -> None:
        """Forget an engine whose cache is lost."""
        self._engines.pop(name, None)

    def _find(self, name: str) -> EnginePrefixes:
        return self._engines.setdefault(name, EnginePrefixes())
