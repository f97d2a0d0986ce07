"""The declarations of client accounts that an entry keeps packed."""

from __future__ import annotations

import typing

from mulberryquay.accounts import keys, packed_accounts
from mulberryquay.control import kinds
from mulberryquay.coordination import schema, store

#: Packed specs of client accounts by name.
PackedAccounts = dict[str, bytes]


def pack_all(resources: typing.Iterable[store.Resource]) -> PackedAccounts:
    """Returns the live client accounts among resources."""
    return {
        resource.name: packed_accounts.pack_spec(
            resource.spec, kinds.CLIENT_ACCOUNT_FIELDS
        )
        for resource in resources
        if resource.kind == kinds.CLIENT_ACCOUNT and resource.spec is not None
    }


def unpack(packed: bytes) -> schema.Spec:
    """Returns the spec of one client account."""
    return packed_accounts.unpack_spec(
        packed, kinds.CLIENT_ACCOUNT_FIELDS, digest_length=keys.DIGEST_LENGTH
    )


def unpack_all(accounts: PackedAccounts) -> dict[str, schema.Spec]:
    """Returns the specs of client accounts by name."""
    return {name: unpack(packed) for name, packed in accounts.items()}


def make_key_ring(specs: dict[str, schema.Spec]) -> keys.KeyRing:
    """Returns the keys of client accounts."""
    return keys.KeyRing(
        (digest, name)
        for name, spec in specs.items()
        for digest in spec['key_digests']
    )
