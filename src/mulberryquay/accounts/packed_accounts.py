"""Declarations of client accounts in little memory.

An entry keeps all of them, and may never see the callers of most.
"""

from __future__ import annotations

import typing

from mulberryquay.coordination import packing, schema

_DIGESTS: typing.Final = 'key_digests'


def pack_spec(spec: schema.Spec, fields: schema.Fields) -> bytes:
    """Returns a spec without the names of its fields."""
    row = [spec.get(name) for name in fields if name != _DIGESTS]
    digests = ''.join(spec.get(_DIGESTS) or ())
    return packing.pack([bytes.fromhex(digests), *row])


def unpack_spec(
    packed: bytes, fields: schema.Fields, *, digest_length: int
) -> schema.Spec:
    """Returns the spec; each digest has ``digest_length`` digits."""
    digests, *row = packing.unpack(packed)
    names = (name for name in fields if name != _DIGESTS)
    spec = {
        name: given
        for name, given in zip(names, row, strict=True)
        if given is not None
    }
    text = digests.hex()
    spec[_DIGESTS] = [
        text[start : start + digest_length]
        for start in range(0, len(text), digest_length)
    ]
    return spec
