"""Heads of HTTP/1.1 messages, their errors, and the framing of bodies."""

from __future__ import annotations

import enum
import re
import typing

from mulberryquay.coordination import errors

FIRST_SERVER_ERROR_STATUS: typing.Final = 500
LAST_CHUNK: typing.Final = b'0\r\n\r\n'

#: Memory of a header field beside its name and value.
_FIELD_BYTES: typing.Final = 64

#: Digits of the largest number that a header may have.
_MAX_DIGITS: typing.Final = 18

_DECIMAL: typing.Final = re.compile(rb'[0-9]{1,18}(\.[0-9]{0,18})?')

Headers = list[tuple[bytes, bytes]]


class MessageError(errors.InvalidInputError):
    """The peer's message violates HTTP/1.1 or a limit."""

    code = 'malformed-message'


@typing.final
class HeadTooLargeError(MessageError):
    """The head exceeds the size limit."""

    code = 'head-too-large'
    http_status = 431


@typing.final
class UnsupportedEncodingError(MessageError):
    """The body has a transfer encoding other than chunked."""

    code = 'unsupported-transfer-encoding'
    http_status = 501


@typing.final
class UpgradeNotSupportedError(MessageError):
    """The caller asked for a tunnel or another protocol."""

    code = 'upgrade-not-supported'
    http_status = 501


@typing.final
class CutShortError(errors.MulberryquayError):
    """The peer closed the connection in the middle of a message."""

    code = 'cut-short'


class Framing(enum.Enum):
    """How the length of a body is determined."""

    NONE = 'none'
    LENGTH = 'length'
    CHUNKED = 'chunked'
    UNTIL_CLOSE = 'until-close'


class RequestHead(typing.NamedTuple):
    """Start line and headers of a request; header names in lower case."""

    method: bytes
    path: bytes
    #: Headers to forward.
    forwarded_headers: Headers
    #: Headers that this system reads; some of them are forwarded, too.
    known_headers: Headers
    framing: Framing
    #: Body length in bytes; 0 unless the framing is LENGTH.
    length: int
    keeps_alive: bool
    is_http_one_zero: bool

    @property
    def size(self) -> int:
        """The approximate size of the head in memory, in bytes."""
        return len(self.path) + sum(
            len(name) + len(value) + _FIELD_BYTES
            for name, value in self.forwarded_headers
        )

    def find(self, name: bytes) -> bytes | None:
        """Returns the first known header's value; ``name`` is in lower case."""
        return find_header(self.known_headers, name)


class ResponseHead(typing.NamedTuple):
    """Status and headers of a response; header names in lower case."""

    status: int
    forwarded_headers: Headers
    known_headers: Headers
    framing: Framing
    length: int
    keeps_alive: bool

    def find(self, name: bytes) -> bytes | None:
        """Returns the first known header's value; ``name`` is in lower case."""
        return find_header(self.known_headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the value of the first header with a lower-case name."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def parse_number(text: bytes) -> int | None:
    """Returns a whole number of reasonable size, None for anything else."""
    if not text.isdigit() or len(text) > _MAX_DIGITS:
        return None
    return int(text)


def parse_decimal(text: bytes) -> float | None:
    """Returns a decimal number that is not negative, None otherwise."""
    return float(text) if _DECIMAL.fullmatch(text) else None


def body_framing(known_headers: Headers) -> tuple[Framing, int]:
    """Returns the framing and the length, -1 if no length was given.

    Raises MessageError where two parsers might disagree on the length (RFC
    9112, section 6.3).
    """
    if not known_headers:
        return Framing.NONE, -1
    lengths = []
    transfer_codings = []
    for name, value in known_headers:
        if name == b'content-length':
            lengths.append(value)
        elif name == b'transfer-encoding':
            transfer_codings.append(value)
    if transfer_codings:
        return _check_transfer_coding(transfer_codings, lengths)
    if not lengths:
        return Framing.NONE, -1
    length = parse_number(lengths[0])
    if len(lengths) > 1 or length is None:
        raise MessageError(
            f'got Content-Length {lengths!r}, expected one whole number',
        )
    return Framing.LENGTH, length


def _check_transfer_coding(
    transfer_codings: list[bytes],
    lengths: list[bytes],
) -> tuple[Framing, int]:
    if lengths:
        raise MessageError(
            'got both Content-Length and Transfer-Encoding, expected one',
        )
    if [coding.strip().lower() for coding in transfer_codings] != [b'chunked']:
        raise UnsupportedEncodingError(
            f'got Transfer-Encoding {transfer_codings!r}, expected chunked',
        )
    return Framing.CHUNKED, -1


def encode_head(start_line: bytes, headers: Headers) -> bytes:
    """Returns an encoded head."""
    lines = [b'%b: %b\r\n' % pair for pair in headers]
    return b'%b\r\n%b\r\n' % (start_line, b''.join(lines))


def encode_chunk(part: bytes) -> bytes:
    """Returns one encoded chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(part), part)


def send_all(connection: typing.Any, message: bytes) -> None:
    """Sends all bytes; cheaper than ``sendall`` for small messages."""
    sent = connection.send(message)
    if sent < len(message):
        connection.sendall(memoryview(message)[sent:])
