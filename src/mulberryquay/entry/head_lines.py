"""Keeps the headers of one head while it is read, in bounded memory."""

from __future__ import annotations

import typing

from mulberryquay.entry import header_names, http_heads

#: Bytes of a header line as sent beside its name and value.
_LINE_BYTES: typing.Final = 3

#: Headers that are an error if they stand twice.
_FRAMING_HEADERS: typing.Final = frozenset(
    (b'content-length', b'transfer-encoding')
)
_STANDARD_CONNECTION_TOKENS: typing.Final = frozenset((b'close', b'keep-alive'))


def too_large(size: int, limit: int) -> http_heads.HeadTooLargeError:
    """Returns the error for a head of at least ``size`` bytes."""
    return http_heads.HeadTooLargeError(
        f'got a head of {size} bytes or more, expected at most {limit}',
    )


@typing.final
class HeadLines:
    """The headers that were read of a head."""

    __slots__ = ('_connection_tokens', '_filter', '_lines', '_size', 'known')

    def __init__(self, header_filter: header_names.HeaderFilter) -> None:
        """Starts without headers."""
        self._filter = header_filter
        self._lines = bytearray()
        self._connection_tokens = bytearray()
        self._size = 0
        #: Headers that this system reads. Their number is bounded: one of a
        #: name, two if a second one is an error.
        self.known: http_heads.Headers = []

    def count(self, size: int, limit: int) -> None:
        """Counts bytes; raises HeadTooLargeError above the limit."""
        self._size += size
        if self._size > limit:
            raise too_large(self._size, limit)

    def add(self, name: bytes, value: bytes, limit: int) -> None:
        """Adds a header; raises HeadTooLargeError above the limit."""
        self.count(len(name) + len(value) + _LINE_BYTES, limit)
        name = name.lower()
        if name in self._filter.known_headers:
            self._add_known(name, value)
        if name not in self._filter.not_forwarded:
            self._lines += b'%b: %b\r\n' % (name, value)

    def finish(self) -> http_heads.HeaderBlock:
        """Returns the headers to forward, less those Connection lists."""
        headers = http_heads.HeaderBlock(bytes(self._lines))
        self._lines = bytearray()
        if not self._connection_tokens:
            return headers
        listed = bytes(self._connection_tokens).rstrip(b',')
        self.known.append((b'connection', listed))
        tokens = listed.lower()
        if tokens in _STANDARD_CONNECTION_TOKENS:
            return headers
        return headers.without({token.strip() for token in tokens.split(b',')})

    def _add_known(self, name: bytes, value: bytes) -> None:
        if name == b'connection':
            self._connection_tokens += value + b','
            return
        count = sum(1 for kept, _ in self.known if kept == name)
        if count <= (name in _FRAMING_HEADERS):
            self.known.append((name, value))
