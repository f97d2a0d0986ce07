"""Heads of HTTP/1.1 messages, their errors, and the framing of bodies."""

from __future__ import annotations

import enum
import re
import typing

from mulberryquay.coordination import errors

FIRST_SERVER_ERROR_STATUS: typing.Final = 500
LAST_CHUNK: typing.Final = b'0\r\n\r\n'
LINE_END: typing.Final = b'\r\n'

#: Memory of a kept header beside its name and value.
_PAIR_BYTES: typing.Final = 160

#: Digits of the largest number that a header may have.
_MAX_DIGITS: typing.Final = 18

_DECIMAL: typing.Final = re.compile(rb'[0-9]{1,18}(\.[0-9]{0,18})?')

Headers = list[tuple[bytes, bytes]]


@typing.final
class HeaderBlock:
    """Headers of a message, kept as the encoded lines that are sent."""

    __slots__ = ('lines',)

    def __init__(self, lines: bytes = b'') -> None:
        """Keeps ``lines``, each of which has its end."""
        self.lines = lines

    def __iter__(self) -> typing.Iterator[tuple[bytes, bytes]]:
        """Yields the names and values."""
        start = 0
        while start < len(self.lines):
            end = self.lines.index(LINE_END, start)
            name, _, text = self.lines[start:end].partition(b': ')
            yield name, text
            start = end + len(LINE_END)

    def without(self, names: typing.Container[bytes]) -> HeaderBlock:
        """Returns the headers less those with the lower-case ``names``."""
        return HeaderBlock(
            encode_headers(pair for pair in self if pair[0] not in names)
        )

    def with_added(self, headers: Headers) -> HeaderBlock:
        """Returns the headers and ``headers`` after them."""
        return HeaderBlock(self.lines + encode_headers(headers))


_NO_HEADERS: typing.Final = HeaderBlock()


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
    forwarded_headers: HeaderBlock
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
        known_bytes = sum(
            _PAIR_BYTES + len(name) + len(value)
            for name, value in self.known_headers
        )
        line_bytes = len(self.path) + len(self.forwarded_headers.lines)
        return line_bytes + known_bytes

    def find(self, name: bytes) -> bytes | None:
        """Returns the first known header's value; ``name`` is in lower case."""
        return find_header(self.known_headers, name)


class ResponseHead(typing.NamedTuple):
    """Status and headers of a response; header names in lower case."""

    status: int
    forwarded_headers: HeaderBlock
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


def encode_headers(headers: typing.Iterable[tuple[bytes, bytes]]) -> bytes:
    """Returns the encoded lines of headers."""
    return b''.join([b'%b: %b\r\n' % pair for pair in headers])


def encode_head(
    start_line: bytes,
    headers: Headers,
    first: HeaderBlock = _NO_HEADERS,
) -> bytes:
    """Returns an encoded head; ``first`` stands before ``headers``."""
    lines = encode_headers(headers)
    return b'%b\r\n%b%b\r\n' % (start_line, first.lines, lines)


def encode_chunk(part: bytes) -> bytes:
    """Returns one encoded chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(part), part)


def _hold_nothing(_size: int) -> None:
    """Counts nothing that waits to be sent."""


def send_all(
    connection: typing.Any,
    message: bytes,
    hold: typing.Callable[[int], None] = _hold_nothing,
) -> None:
    """Sends all bytes; cheaper than ``sendall`` for small messages.

    Calls ``hold`` with the size of a message that the system does not take
    at once, before it waits for the peer.
    """
    sent = _send_at_once(connection, message)
    if sent < len(message):
        hold(len(message))
        connection.sendall(memoryview(message)[sent:])


def _send_at_once(connection: typing.Any, message: bytes) -> int:
    """Returns how many bytes the system took without a wait."""
    timeout = connection.gettimeout()
    connection.settimeout(0)
    try:
        return int(connection.send(message))
    except BlockingIOError:
        return 0
    finally:
        connection.settimeout(timeout)
