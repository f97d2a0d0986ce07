"""Checks the status lines of answers beyond what the parser checks.

The parser takes any three digits as a status, the versions 0.9 and 2.0, and
answers of other protocols, and tells neither the line nor the protocol.
"""

from __future__ import annotations

import re
import typing

from mulberryquay.entry import http_heads

FIRST_FINAL_STATUS: typing.Final = 200

#: Limit of the interim (1xx) answers before an answer.
MAX_INTERIM_ANSWERS: typing.Final = 16

_FIRST_STATUS: typing.Final = 100
_LAST_STATUS: typing.Final = 599
_VERSIONS: typing.Final = frozenset(('1.0', '1.1'))
_PROTOCOL: typing.Final = b'HTTP/'
_OTHER_PROTOCOL: typing.Final = re.compile(
    rb'\n(?:RTSP|ICE)/[0-9]\.[0-9] [0-9]{3}'
)
_INTERIM_BEGINNING: typing.Final = re.compile(rb'HTTP/1\.[01] 1')
_EMPTY_LINES: typing.Final = b'\r\n'
_HEAD_END: typing.Final = b'\r\n\r\n'

#: No status line is longer up to the end of its status.
_BEGINNING_BYTES: typing.Final = 16


def split_interim(chunk: bytes) -> typing.Iterator[bytes]:
    """Yields interim answers one by one, then all that follows them."""
    while _INTERIM_BEGINNING.match(chunk):
        interim, end, following = chunk.partition(_HEAD_END)
        if not following:
            break
        yield interim + end
        chunk = following
    yield chunk


@typing.final
class StatusLineCheck:
    """Checks the answers on one connection as the parser meets them."""

    def __init__(self) -> None:
        """No answer has begun."""
        #: The received bytes in which the current head begins.
        self._beginning = b''
        self._missing_bytes = 0
        self._is_in_head = False
        self._interim_answers = 0
        #: Whether that head begins them, and whether the next one would.
        self._is_first = True
        self._is_next_first = True

    def add(self, received: bytes, *, is_in_message: bool) -> None:
        """Called with bytes before the parser gets them."""
        if self._is_in_head:
            added = received[: self._missing_bytes]
            self._missing_bytes -= len(added)
            self._beginning += added
        else:
            self._beginning = received
        self._is_next_first = not is_in_message

    def begin(self) -> None:
        """Called by the parser's reader when an answer begins."""
        self._is_first = self._is_next_first
        self._is_next_first = False
        self._missing_bytes = _BEGINNING_BYTES
        self._is_in_head = True

    def check(self, version: str, status: int) -> None:
        """Raises MessageError at the end of a head that is no answer's."""
        self._is_in_head = False
        if version not in _VERSIONS or not self._is_http():
            raise http_heads.MessageError(
                f'got an answer of version {version} or of another protocol, '
                'expected HTTP/1.0 or HTTP/1.1',
            )
        if not _FIRST_STATUS <= status <= _LAST_STATUS:
            raise http_heads.MessageError(
                f'got the status {status:03}, expected one from '
                f'{_FIRST_STATUS} to {_LAST_STATUS}',
            )
        if status >= FIRST_FINAL_STATUS:
            self._interim_answers = 0

    def check_interim(self, framing: http_heads.Framing, length: int) -> None:
        """Raises MessageError for an interim answer too many or with a body."""
        self._interim_answers += 1
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            raise http_heads.MessageError(
                f'got more than {MAX_INTERIM_ANSWERS} interim answers',
            )
        if length > 0 or framing is http_heads.Framing.CHUNKED:
            raise http_heads.MessageError(
                'got an interim answer with a body, expected none',
            )

    def _is_http(self) -> bool:
        if self._is_first:
            beginning = self._beginning.lstrip(_EMPTY_LINES)
            return beginning.startswith(_PROTOCOL)
        return not _OTHER_PROTOCOL.search(self._beginning)
