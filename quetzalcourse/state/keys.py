"""Key grants and withdrawals that are made outside the manifest."""

from __future__ import annotations

import re

import msgspec

KEY_ID_PATTERN = re.compile('[A-Za-z0-9_-]{1,64}')
DIGEST_PATTERN = re.compile('[0-9a-f]{64}')


class KeyRecord(msgspec.Struct, frozen=True):
    """A key that was granted or withdrawn.

    :param key_id: public part of the key.
    :param client_account: account of the key, empty if only withdrawn.
    :param digest: SHA-256 of the secret part, empty if only withdrawn.
    :param withdrawn: whether it is a tombstone, which overrides every grant.
    """

    key_id: str
    client_account: str = ''
    digest: str = ''
    withdrawn: bool = False

    def merge(self, other: KeyRecord) -> KeyRecord:
        """Merge with another record of the same key.

        Daemons that received the same records in any order must converge to
        the same result: a tombstone persists, and of conflicting grants the
        one with the greater bytes is kept.
        """
        grant = max(
            (self.digest, self.client_account),
            (other.digest, other.client_account),
        )
        withdrawn = self.withdrawn or other.withdrawn
        return KeyRecord(self.key_id, grant[1], grant[0], withdrawn)


def build_tombstone(key_id: str) -> KeyRecord:
    """Build the tombstone of a key."""
    return KeyRecord(key_id, withdrawn=True)


def validate_record(record: KeyRecord) -> str:
    """Check a change that an operator requests.

    :returns: the error, empty if the change is valid.
    """
    if not KEY_ID_PATTERN.fullmatch(record.key_id):
        return 'A key id has 1 to 64 letters, digits, "-" and "_".'
    if record.withdrawn:
        return ''
    if not record.client_account:
        return 'A grant names a client account.'
    if not DIGEST_PATTERN.fullmatch(record.digest):
        return 'A grant has the SHA-256 of its secret, in hexadecimal.'
    return ''
