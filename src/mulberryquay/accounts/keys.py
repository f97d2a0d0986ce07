"""Keys of client accounts, kept and compared as digests only."""

from __future__ import annotations

import array
import bisect
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
    """The accounts by the digests of their keys, in little memory.

    A look-up compares digests, so its time tells nothing of a key.
    """

    def __init__(self, holders: typing.Iterable[tuple[str, str]]) -> None:
        """``holders`` has each digest with the name of its account."""
        pairs = sorted(holders)
        names = sorted({name for _, name in pairs})
        numbers = {name: number for number, name in enumerate(names)}
        self._digests = bytes.fromhex(''.join(digest for digest, _ in pairs))
        self._names = names
        #: Number of the name for each digest, in their order.
        self._holders = array.array('I', [numbers[name] for _, name in pairs])
        self._revoked: dict[str, int] = {}

    def follow(self, earlier: KeyRing, revision: int) -> None:
        """Remembers the keys of an earlier ring that ``revision`` revoked."""
        present = set(self._list())
        known = {
            **earlier._revoked,
            **{
                digest: revision
                for digest in earlier._list()
                if digest not in present
            },
        }
        newest = list(known.items())[-_MAX_REVOKED:]
        self._revoked = {
            digest: revoked_in
            for digest, revoked_in in newest
            if digest not in present
        }

    def holder_of(self, digest: str) -> str | None:
        """Returns the name of the account that holds a key."""
        if len(digest) != DIGEST_LENGTH:
            return None
        sought = bytes.fromhex(digest)
        place = bisect.bisect_left(
            range(len(self._holders)), sought, key=self._at
        )
        if place == len(self._holders) or self._at(place) != sought:
            return None
        return self._names[self._holders[place]]

    def revoked_in(self, digest: str) -> int:
        """Returns the revision that revoked a key, 0 if none is known."""
        return self._revoked.get(digest, 0)

    def _list(self) -> list[str]:
        return [self._at(place).hex() for place in range(len(self._holders))]

    def _at(self, place: int) -> bytes:
        start = place * _DIGEST_BYTES
        return self._digests[start : start + _DIGEST_BYTES]
