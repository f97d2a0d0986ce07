"""Reads HTTP/1.1 messages from gevent sockets.

The parser is the `httptools` library (llhttp in strict mode). This module
adds the limits, the framing rules that guard against request smuggling, and
the order of events on a connection.
"""

from __future__ import annotations

import collections
import typing

import httptools

from mulberryquay.entry import header_names, http_heads

READ_BYTES: typing.Final = 65536

#: The largest head (start line and headers) that is read, in bytes.
MAX_HEAD_BYTES: typing.Final = 32768

#: Statuses of answers that never have a body.
NO_BODY_STATUSES: typing.Final = frozenset((204, 304))
_PLAIN_TOKENS: typing.Final = frozenset((b'close', b'keep-alive'))
_FIRST_FINAL_STATUS: typing.Final = 200
_VERSIONS: typing.Final = frozenset(('1.0', '1.1'))
_SWITCHING_PROTOCOLS: typing.Final = 101


def _ignore_begin() -> None:
    """Nobody asks for the begin of requests."""


class _Reader:
    """Feeds a parser from a socket and queues its events in order.

    An event is a head, a body part (bytes) or None for the end of a
    message.
    """

    def __init__(
        self,
        connection: typing.Any,
        names: header_names.HeaderFilter,
    ) -> None:
        self._socket = connection
        self._names = names
        self._events: collections.deque[typing.Any] = collections.deque()
        self._kept: http_heads.Headers = []
        self._noted: http_heads.Headers = []
        self._head_bytes = 0
        self._failure: http_heads.MessageError | None = None
        self._in_message = False
        self._in_head = True
        self._parser: typing.Any = None
        #: The largest head that is taken.
        self.max_head_bytes = MAX_HEAD_BYTES

    @property
    def is_between_messages(self) -> bool:
        """Whether the connection stands between two messages."""
        return not (self._events or self._in_message or self._failure)

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._kept = []
        self._noted = []
        self._in_message = True

    def on_header(self, name: bytes, header: bytes) -> None:
        """Called by the parser."""
        name = name.lower()
        if name in self._names.known_headers:
            self._noted.append((name, header))
        if name not in self._names.not_passed_on:
            self._kept.append((name, header))

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        self._events.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self._events.append(None)
        self._in_message = False
        self._in_head = True
        self._head_bytes = 0

    def read_part(self) -> bytes | None:
        """Returns the next part of the body, None at its end.

        Raises http_heads.MessageError, http_heads.CutShortError and OSError.
        """
        part: bytes | None = self._next_event()
        return part

    def _next_event(self) -> typing.Any:
        while not self._events:
            if not self._receive():
                raise http_heads.CutShortError('the peer closed in mid-message')
        return self._events.popleft()

    def _receive(self) -> bool:
        """Parses the next bytes; False when the peer closed."""
        if self._failure:
            raise self._failure
        chunk = self._socket.recv(READ_BYTES)
        if not chunk:
            return False
        if not self._events:
            self._limit_head(len(chunk))
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            self._failure = http_heads.MessageError(
                'got an upgrade, expected none'
            )
        except httptools.HttpParserCallbackError as error:
            self._failure = _as_message_error(error.__context__)
        except httptools.HttpParserError as error:
            self._failure = http_heads.MessageError(
                f'malformed HTTP message: {error}'
            )
        if self._failure and not self._events:
            raise self._failure
        return True

    def _limit_head(self, received: int) -> None:
        if not self._in_head:
            return
        self._head_bytes += received
        if self._head_bytes > self.max_head_bytes + READ_BYTES:
            raise http_heads.HeadTooLargeError(
                f'expected a head of at most {self.max_head_bytes} bytes',
            )

    def _push_head(
        self, head: http_heads.RequestHead | http_heads.ResponseHead
    ) -> None:
        self._events.append(head)
        self._in_head = False
        # Trailers must not join the headers of the head (RFC 9110, 6.5.1).
        self._kept = []
        self._noted = []

    def _passed_on(self) -> http_heads.Headers:
        """Returns the kept headers less those that Connection names."""
        if not self._noted:
            return self._kept
        tokens = http_heads.find_header(self._noted, b'connection')
        if tokens is None or tokens.lower() in _PLAIN_TOKENS:
            return self._kept
        named = {
            token.strip()
            for name, header in self._noted
            if name == b'connection'
            for token in header.lower().split(b',')
        }
        return [pair for pair in self._kept if pair[0] not in named]

    def _check_head_size(self, start_line: int) -> None:
        if self._head_bytes <= self.max_head_bytes:
            return
        size = start_line + sum(
            len(name) + len(header)
            for name, header in (*self._kept, *self._noted)
        )
        if size > self.max_head_bytes:
            raise http_heads.HeadTooLargeError(
                f'got a head of {size} bytes, expected at most '
                f'{self.max_head_bytes}',
            )


@typing.final
class RequestReader(_Reader):
    """Reads the requests of one caller's connection."""

    def __init__(
        self,
        connection: typing.Any,
        names: header_names.HeaderFilter = header_names.OWN,
        on_begin: typing.Callable[[], None] = _ignore_begin,
    ) -> None:
        """Reads from ``connection``, a gevent socket.

        ``on_begin`` is called with the first byte of each request.
        """
        super().__init__(connection, names)
        self._parser = httptools.HttpRequestParser(self)
        self._url = b''
        self._on_begin = on_begin

    def on_message_begin(self) -> None:
        """Called by the parser."""
        super().on_message_begin()
        self._url = b''
        self._on_begin()

    def on_url(self, url: bytes) -> None:
        """Called by the parser, possibly once per part."""
        self._url += url

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._check_head_size(len(self._url))
        version = self._parser.get_http_version()
        if version not in _VERSIONS:
            raise http_heads.MessageError(
                f'got HTTP/{version}, expected 1.0 or 1.1'
            )
        if self._parser.should_upgrade():
            raise http_heads.UpgradeNotSupportedError(
                'protocol upgrades and CONNECT are not supported',
            )
        framing, length = http_heads.body_framing(self._noted)
        head = http_heads.RequestHead(
            self._parser.get_method(),
            self._url,
            self._passed_on(),
            self._noted,
            framing,
            length,
            self._parser.should_keep_alive(),
            version == '1.0',
        )
        self._push_head(head)

    def read_head(self) -> http_heads.RequestHead | None:
        """Returns the next request, None if the caller closed cleanly.

        Raises http_heads.MessageError, http_heads.CutShortError and OSError.
        """
        while not self._events:
            if not self._receive():
                if self._in_message:
                    raise http_heads.CutShortError(
                        'the caller closed in mid-request'
                    )
                return None
        head: http_heads.RequestHead = self._events.popleft()
        return head


@typing.final
class ResponseReader(_Reader):
    """Reads the responses on one connection to a target."""

    def __init__(
        self,
        connection: typing.Any,
        names: header_names.HeaderFilter = header_names.OWN,
    ) -> None:
        """Reads from ``connection``, a gevent socket."""
        super().__init__(connection, names)
        self._parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._check_head_size(0)
        status = self._parser.get_status_code()
        framing, length = http_heads.body_framing(self._noted)
        if status in NO_BODY_STATUSES or status < _FIRST_FINAL_STATUS:
            framing = http_heads.Framing.NONE
        elif framing is http_heads.Framing.NONE and length < 0:
            framing = http_heads.Framing.UNTIL_CLOSE
        self._push_head(
            http_heads.ResponseHead(
                status,
                self._passed_on(),
                self._noted,
                framing,
                max(length, 0),
                self._parser.should_keep_alive(),
            ),
        )

    def read_head(self) -> http_heads.ResponseHead:
        """Returns the final response head; skips interim responses.

        Raises http_heads.MessageError, http_heads.CutShortError and OSError.
        """
        while True:
            head: http_heads.ResponseHead = self._next_event()
            if head.status >= _FIRST_FINAL_STATUS:
                return head
            if head.status == _SWITCHING_PROTOCOLS:
                raise http_heads.MessageError(
                    'got 101, which was not asked for'
                )
            self._next_event()

    def read_until_close(self) -> bytes | None:
        """Returns the next part of a body that ends with the connection.

        Raises http_heads.MessageError and OSError, also when the peer reset.
        """
        while not self._events:
            if not self._receive():
                return None
        part: bytes | None = self._events.popleft()
        return part


def _as_message_error(cause: BaseException | None) -> http_heads.MessageError:
    if isinstance(cause, http_heads.MessageError):
        return cause
    return http_heads.MessageError(f'malformed HTTP message: {cause}')
