"""API keys of client accounts: authentication, grants and withdrawals."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash
from result import Err, Ok, Result

from quetzalcourse.state.keys import KeyRecord, build_tombstone
from quetzalcourse.state.refusal import Refusal, RefusalCode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from quetzalcourse.state.manifest import KeyHash

KEY_SEPARATOR = '.'
BUCKET_COUNT = 64


@dataclass(frozen=True, slots=True)
class Identity:
    """Account and key that a request was authenticated for.

    :param key_id: public part of the request's key.
    """

    client_account: str
    key_id: str


def hash_secret(secret: str) -> str:
    """Hash the secret part of a key, as stored in the manifest."""
    return hashlib.sha256(secret.encode()).hexdigest()


def match_secret(digest: str, secret: str) -> bool:
    """Compare a secret with its hash in constant time."""
    return hmac.compare_digest(digest, hash_secret(secret))


class KeyRing:
    """Granted and withdrawn keys.

    Grants come from the manifest and from records. A withdrawal is a tombstone
    and overrides every grant of the same key id, whichever arrives first.
    """

    def __init__(self) -> None:
        """Start without keys, so that every request is refused."""
        self.is_current: Callable[[], bool] = lambda: True
        self.records: dict[str, KeyRecord] = {}
        self.buckets = [0] * BUCKET_COUNT
        self._manifest_keys: dict[str, KeyHash] = {}
        self._watchers: dict[str, set[asyncio.Event]] = {}
        self._withdrawn_listeners: list[Callable[[str], None]] = []
        self._record_listeners: list[Callable[[KeyRecord], None]] = []

    def replace_grants(self, keys: Iterable[KeyHash]) -> None:
        """Replace the grants of the previous manifest."""
        before = set(self._manifest_keys)
        self._manifest_keys = {key.key_id: key for key in keys}
        for key_id in before - set(self._manifest_keys):
            self._notify_if_withdrawn(key_id)

    def merge(self, record: KeyRecord, notify: bool = True) -> bool:
        """Merge a change; changes may arrive in any order.

        :param notify: whether the record listeners are called.
        :returns: whether the change was new.
        """
        known = self.records.get(record.key_id)
        joined = known.merge(record) if known else record
        if joined == known:
            return False
        self._toggle_hash(joined)
        if known is not None:
            self._toggle_hash(known)
        self.records[record.key_id] = joined
        self._notify_if_withdrawn(record.key_id)
        if notify:
            for listener in self._record_listeners:
                listener(joined)
        return True

    def withdraw(self, key_id: str) -> None:
        """Withdraw a key permanently."""
        self.merge(build_tombstone(key_id))

    def is_withdrawn(self, key_id: str) -> bool:
        """Return whether a key was withdrawn or is no longer granted."""
        known = self.records.get(key_id)
        if known is not None and (known.withdrawn or known.digest):
            return known.withdrawn
        return key_id not in self._manifest_keys

    def on_withdrawn(self, listener: Callable[[str], None]) -> None:
        """Register a listener for the ids of keys that become invalid."""
        self._withdrawn_listeners.append(listener)

    def on_record(self, listener: Callable[[KeyRecord], None]) -> None:
        """Register a listener for new changes."""
        self._record_listeners.append(listener)

    @contextmanager
    def watch(self, key_id: str) -> Iterator[asyncio.Event]:
        """Provide an event that is set when a key becomes invalid.

        :param key_id: key of a request in progress.
        """
        event = asyncio.Event()
        if self.is_withdrawn(key_id):
            event.set()
        watchers = self._watchers.setdefault(key_id, set())
        watchers.add(event)
        try:
            yield event
        finally:
            watchers.discard(event)
            if not watchers and self._watchers.get(key_id) is watchers:
                self._watchers.pop(key_id)

    def hash_records(self) -> int:
        """Hash all records; equal sets of records have equal hashes."""
        combined = 0
        for number, bucket in enumerate(self.buckets):
            combined ^= xxhash.xxh32_intdigest(b'%d %d' % (number, bucket))
        return combined

    def list_different(self, buckets: list[int]) -> list[KeyRecord]:
        """List the records of the buckets whose hashes differ."""
        return [
            record
            for key_id, record in self.records.items()
            if buckets[_choose_bucket(key_id)]
            != self.buckets[_choose_bucket(key_id)]
        ]

    def authenticate(self, bearer: str) -> Result[Identity, Refusal]:
        """Authenticate a key.

        :param bearer: the key, as ``KEY_ID.SECRET``.
        :returns: its account, or the refusal to send to the caller.
        """
        key_id, _, secret = bearer.partition(KEY_SEPARATOR)
        granted: KeyHash | KeyRecord | None = self._manifest_keys.get(key_id)
        known = self.records.get(key_id)
        if granted is None and known is not None and known.digest:
            granted = known
        expected = granted.digest if granted else hash_secret('')
        # An unknown key id takes the same comparison as a known one, so the
        # response time does not reveal which ids exist.
        matches = match_secret(expected, secret)
        if granted is None or not matches or not secret:
            return Err(refuse_key(RefusalCode.unauthenticated))
        if known is not None and known.withdrawn:
            return Err(refuse_key(RefusalCode.key_withdrawn))
        if not self.is_current():
            return Err(refuse_key(RefusalCode.not_ready))
        return Ok(Identity(granted.client_account, key_id))

    def _toggle_hash(self, record: KeyRecord) -> None:
        text = repr(record)
        digest = xxhash.xxh32_intdigest(text.encode())
        self.buckets[_choose_bucket(record.key_id)] ^= digest

    def _notify_if_withdrawn(self, key_id: str) -> None:
        if not self.is_withdrawn(key_id):
            return
        for event in self._watchers.get(key_id, ()):
            event.set()
        for listener in self._withdrawn_listeners:
            listener(key_id)


def _choose_bucket(key_id: str) -> int:
    return xxhash.xxh32_intdigest(key_id.encode()) % BUCKET_COUNT


def refuse_key(code: RefusalCode, not_run: bool = True) -> Refusal:
    """Build the refusal for a key that is not accepted.

    :param not_run: false if the request had started when its key was withdrawn.
    """
    messages = {
        RefusalCode.unauthenticated: 'The key is missing or not known.',
        RefusalCode.key_withdrawn: 'The key was withdrawn.',
        RefusalCode.not_ready: 'No news of keys for too long.',
    }
    return Refusal(code, messages[code], not_run=not_run, step='authenticate')
