"""Keys of client accounts, kept and compared as digests only."""

from __future__ import annotations

import hashlib
import typing

#: A digest is written in this many hexadecimal digits.
DIGEST_LENGTH: typing.Final = 32

_DIGEST_BYTES: typing.Final = DIGEST_LENGTH // 2
#: Revoked keys that are remembered, the newest, to tell them from others.
_MAX_REVOKED: typing.Final = 1000
_PURPOSE: typing.Final = b'mulberryquay-key'
_SCHEME: typing.Final = b'bearer'


def digest_of(key: bytes) -> str:
    """Returns the digest under which a key is kept."""
    return hashlib.blake2b(
        key, digest_size=_DIGEST_BYTES, person=_PURPOSE
    ).hexdigest()


def read_bearer(credentials: bytes | None) -> bytes | None:
    """Returns the key of an ``Authorization`` header, None without one."""
    if credentials is None:
        return None
    scheme, _, key = credentials.partition(b' ')
    key = key.strip()
    return key if scheme.lower() == _SCHEME and key else None


@typing.final
class KeyRing:
    """The accounts by the digests of their keys.

    A look-up compares digests, so its time tells nothing of a key.
    """

    def __init__(self, accounts: typing.Mapping[str, str]) -> None:
        """``accounts`` has the name of an account by each digest."""
        self._accounts = accounts
        self._revoked: dict[str, int] = {}

    def follow(self, earlier: KeyRing, revision: int) -> None:
        """Remembers the keys of an earlier ring that ``revision`` revoked."""
        known = {
            **earlier._revoked,
            **{
                digest: revision
                for digest in earlier._accounts
                if digest not in self._accounts
            },
        }
        newest = list(known.items())[-_MAX_REVOKED:]
        self._revoked = {
            digest: revoked_in
            for digest, revoked_in in newest
            if digest not in self._accounts
        }

    def holder_of(self, digest: str) -> str | None:
        """Returns the name of the account that holds a key."""
        return self._accounts.get(digest)

    def revoked_in(self, digest: str) -> int:
        """Returns the revision that revoked a key, 0 if none is known."""
        return self._revoked.get(digest, 0)
