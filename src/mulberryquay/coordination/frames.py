"""Encodes records as frames with checksums, one after the other in a file."""

from __future__ import annotations

import struct
import typing
import zlib

from mulberryquay.coordination import errors, packing

Record = typing.Any

#: Length and checksum of a frame's body.
_FIELDS: typing.Final = struct.Struct('>II')

#: Checksum of the encoded fields, which follows them.
_CHECKSUM: typing.Final = struct.Struct('>I')
_HEADER_BYTES: typing.Final = _FIELDS.size + _CHECKSUM.size

#: Set in the length of a frame whose header has a checksum of its own.
_CHECKED_HEADER: typing.Final = 0x80000000


@typing.final
class DamagedFrameError(errors.MulberryquayError):
    """A frame was written completely and changed afterwards."""

    code = 'damaged-frame'

    def __init__(self, offset: int) -> None:
        """``offset`` is where the frame begins, in bytes."""
        super().__init__(f'the frame at byte {offset} is damaged')
        self.offset = offset


class Decoded(typing.NamedTuple):
    """The complete frames of a file."""

    records: list[Record]
    #: Length of the complete frames in bytes; an incomplete write follows.
    size: int


class _Header(typing.NamedTuple):
    """The decoded header of a frame."""

    size: int
    body_length: int
    body_checksum: int
    #: False for a frame written before headers had a checksum.
    is_checked: bool


def encode(record: Record) -> bytes:
    """Returns a record as one frame; raises UnencodableError."""
    body = packing.pack(record)
    fields = _FIELDS.pack(len(body) | _CHECKED_HEADER, zlib.crc32(body))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + body


def decode_all(content: bytes) -> Decoded:
    """Returns the records in ``content``; raises DamagedFrameError.

    An incomplete write is left out: a frame that the end of the file cuts
    off or whose body is damaged at the end of the file, or zeros.
    """
    records: list[Record] = []
    offset = 0
    had_checked_header = False
    while True:
        header = _decode_header(content, offset)
        if header is None:
            return Decoded(records, offset)
        if had_checked_header and not header.is_checked:
            raise DamagedFrameError(offset)
        had_checked_header = header.is_checked
        body = _body(content, offset, header)
        if body is None:
            return Decoded(records, offset)
        records.append(packing.unpack(body))
        offset += header.size + header.body_length


def _decode_header(content: bytes, offset: int) -> _Header | None:
    """Returns the header at ``offset``, None if it was not written.

    Raises DamagedFrameError.
    """
    if len(content) < offset + _FIELDS.size:
        return None
    length, body_checksum = _FIELDS.unpack_from(content, offset)
    if length & _CHECKED_HEADER:
        return _decode_checked_header(content, offset)
    # No frame is empty, so zeros are blocks that a crash left unwritten.
    if not length:
        _check_unwritten(content, offset, offset)
        return None
    return _Header(_FIELDS.size, length, body_checksum, is_checked=False)


def _decode_checked_header(content: bytes, offset: int) -> _Header | None:
    if len(content) < offset + _HEADER_BYTES:
        return None
    checksum_offset = offset + _FIELDS.size
    fields = content[offset:checksum_offset]
    checksum = _CHECKSUM.unpack_from(content, checksum_offset)[0]
    if zlib.crc32(fields) != checksum:
        _check_unwritten(content, checksum_offset, offset)
        return None
    length, body_checksum = _FIELDS.unpack(fields)
    return _Header(
        _HEADER_BYTES, length ^ _CHECKED_HEADER, body_checksum, is_checked=True
    )


def _body(content: bytes, offset: int, header: _Header) -> bytes | None:
    """Returns the body of a frame, None if it was not written to its end.

    Raises DamagedFrameError.
    """
    start = offset + header.size
    end = start + header.body_length
    if end > len(content):
        return None
    body = content[start:end]
    if zlib.crc32(body) == header.body_checksum:
        return body
    if end == len(content):
        return None
    raise DamagedFrameError(offset)


def _check_unwritten(content: bytes, start: int, offset: int) -> None:
    """Raises DamagedFrameError unless only zeros follow from ``start``."""
    if any(content[start:]):
        raise DamagedFrameError(offset)
