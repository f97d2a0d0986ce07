"""Encodes values as msgpack; whole numbers may have any size."""

from __future__ import annotations

import typing

import msgpack

from mulberryquay.coordination import errors

#: The msgpack extension type of a whole number of more than 64 bits, as
#: big-endian two's complement.
_BIG_INTEGER: typing.Final = 2

_BITS_PER_BYTE: typing.Final = 8


@typing.final
class UnencodableError(errors.InvalidInputError):
    """A value has no encoding, such as text that is not valid Unicode."""

    code = 'unencodable-value'


def pack(content: typing.Any) -> bytes:
    """Returns the encoded value; raises UnencodableError."""
    try:
        body: bytes = msgpack.packb(content, default=_encode_extension)
    except (TypeError, ValueError, OverflowError) as error:
        raise UnencodableError(
            f'got a value that cannot be encoded: {error}',
        ) from error
    return body


def unpack(body: bytes | bytearray) -> typing.Any:
    """Returns the value that `pack` encoded.

    Raises ValueError and msgpack.UnpackException for other bytes.
    """
    return msgpack.unpackb(body, ext_hook=decode_extension)


def decode_extension(type_code: int, body: bytes) -> typing.Any:
    """Returns the value of a msgpack extension, for an unpacker."""
    if type_code == _BIG_INTEGER:
        return int.from_bytes(body, 'big', signed=True)
    return msgpack.ExtType(type_code, body)


def _encode_extension(content: typing.Any) -> msgpack.ExtType:
    if not isinstance(content, int):
        raise TypeError(f'got a value of type {type(content).__name__}')
    size = content.bit_length() // _BITS_PER_BYTE + 1
    return msgpack.ExtType(
        _BIG_INTEGER, content.to_bytes(size, 'big', signed=True)
    )
