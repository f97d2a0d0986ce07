"""Reads HTTP/1.1 messages from gevent sockets.

The parser is `httptools` (llhttp in strict mode). This module adds the framing
rules against request smuggling, the queue of events of a connection, and
limits: of a head, of the bytes between two parts of a body, of interim
answers, and of the bytes read before other tasks run.
"""

from __future__ import annotations

import collections
import typing

import httptools

from mulberryquay.coordination import read_turn, wait_limit
from mulberryquay.entry import (
    head_lines,
    header_names,
    http_heads,
    status_lines,
)

READ_BYTES: typing.Final = read_turn.MAX_TURN_BYTES

#: Default limit of a head (start line and headers), in bytes.
MAX_HEAD_BYTES: typing.Final = 32768

#: Bytes of a head that was not read to its end, beyond its limit.
_HEAD_SLACK_BYTES: typing.Final = 4096

#: Largest piece that is read while a head is expected.
_HEAD_READ_BYTES: typing.Final = 16384

#: How a head ends, or what may be the end of one in a chunked body.
_HEAD_END: typing.Final = b'\n\r\n'
_ODD_HEAD_END: typing.Final = b'\n\n'

#: Smallest piece of a chunked body that is parsed at once.
_PIECE_BYTES: typing.Final = 1024

#: Limit of what is read without a part of the body or the end of the message:
#: chunk sizes with extensions, and trailers.
MAX_FRAMING_BYTES: typing.Final = 65536

#: Statuses of answers that never have a body.
NO_BODY_STATUSES: typing.Final = frozenset((204, 304))
_VERSIONS: typing.Final = frozenset(('1.0', '1.1'))
_SWITCHING_PROTOCOLS: typing.Final = 101


def _ignore_begin() -> None:
    """Does nothing at the beginning of a request."""


class _Reader:
    """Feeds a parser from a socket and queues its events in order.

    An event is a head, a body part (bytes) or None for the end of a
    message.
    """

    def __init__(
        self,
        connection: typing.Any,
        header_filter: header_names.HeaderFilter,
    ) -> None:
        self._socket = connection
        self._header_filter = header_filter
        self._events: collections.deque[typing.Any] = collections.deque()
        self._lines = head_lines.HeadLines(header_filter)
        #: Bytes received of the head that is being read.
        self._head_bytes = 0
        self._framing_bytes = 0
        #: Bytes that were received and are not parsed yet.
        self._received = b''
        self._turn = read_turn.ReadTurn()
        self._error: http_heads.MessageError | None = None
        self._in_message = False
        self._in_head = True
        self._parser: typing.Any = None
        #: Limit of a head, in bytes; a larger one raises HeadTooLargeError.
        self.max_head_bytes = MAX_HEAD_BYTES
        #: Limits each wait for bytes, if set; TimeoutError is raised after it.
        self.wait_limit: wait_limit.WaitLimit | None = None

    @property
    def is_between_messages(self) -> bool:
        """Whether the connection is between two messages."""
        is_reading = self._in_message or self._received
        return not (self._events or is_reading or self._error)

    @property
    def has_received(self) -> bool:
        """Whether bytes are here that were not parsed yet."""
        return bool(self._received)

    @property
    def unfinished_bytes(self) -> int:
        """Bytes received of a head that is not complete, and behind it."""
        head_bytes = self._head_bytes if self._in_head else 0
        return head_bytes + len(self._received)

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._lines = head_lines.HeadLines(self._header_filter)
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser, also for trailers, which are dropped."""
        if not self._in_head:
            return
        self._lines.add(name, value, self.max_head_bytes)

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        self._events.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self._events.append(None)
        self._in_message = False
        self._in_head = True
        self._head_bytes = 0
        self._framing_bytes = 0

    def read_part(self) -> bytes | None:
        """Returns the next part of the body, None at its end.

        Raises http_heads.MessageError, http_heads.CutShortError and OSError.
        """
        return self._with_following_parts(self._next_event())

    def _with_following_parts(self, part: bytes | None) -> bytes | None:
        """Returns ``part`` together with the parts received after it."""
        events = self._events
        if part is None or not events or events[0] is None:
            return part
        parts = [part]
        while events and events[0] is not None:
            parts.append(events.popleft())
        return b''.join(parts)

    def _next_event(self) -> typing.Any:
        while not self._events:
            if not self.receive():
                raise http_heads.CutShortError(
                    'the peer closed the connection in the middle of a message'
                )
        return self._events.popleft()

    def receive(self) -> bool:
        """Receives and parses bytes; returns False if the peer closed.

        Raises http_heads.MessageError and OSError.
        """
        if self._error:
            raise self._error
        event_count = len(self._events)
        received = self._parse_piece()
        if not received:
            return False
        if len(self._events) > event_count:
            self._framing_bytes = 0
        elif not self._in_head:
            self._check_framing_size(received)
        if self._error:
            self.drop()
            if not self._events:
                raise self._error
        return True

    def drop(self) -> None:
        """Frees what was kept beside the events; ends the reading."""
        self._parser = None
        self._received = b''
        self._lines = head_lines.HeadLines(self._header_filter)

    def close(self) -> None:
        """Frees all that was read; nothing can be read any more.

        The parser refers to its reader, so the garbage collector, which runs
        rarely, would free them later.
        """
        self.drop()
        self._events.clear()

    def _parse_piece(self) -> int:
        """Parses some bytes, received if none are left; returns their number.

        Returns 0 if the peer closed. The bytes are kept by no frame of an
        error.
        """
        received = self._received or self._receive()
        end = self._piece_end(received)
        self._received = received[end:]
        if received:
            self._parse(received[:end])
        return end

    def _receive(self) -> bytes:
        """Returns received bytes, none if the peer closed; raises OSError."""
        self._turn.begin_read()
        if self.wait_limit is not None:
            self.wait_limit.apply(self._socket)
        chunk: bytes = self._socket.recv(self._most_received())
        if chunk:
            self._turn.end_read(len(chunk))
        return chunk

    def _most_received(self) -> int:
        """Returns how many bytes are received at once."""
        return _HEAD_READ_BYTES if self._in_head else READ_BYTES

    def _piece_end(self, received: bytes) -> int:
        """Returns how many of the received bytes are parsed at once."""
        return len(received)

    def _parse(self, chunk: bytes) -> None:
        if self._in_head:
            self._head_bytes += len(chunk)
        try:
            self._feed(chunk)
        except httptools.HttpParserUpgrade:
            self._error = http_heads.MessageError(
                'got a protocol upgrade, expected none'
            )
        except httptools.HttpParserCallbackError as error:
            self._error = _as_message_error(error.__context__)
        except httptools.HttpParserError as error:
            self._error = http_heads.MessageError(
                f'malformed HTTP message: {error}'
            )
        limit = self.max_head_bytes + _HEAD_SLACK_BYTES
        if self._in_head and self._head_bytes > limit and not self._error:
            self._error = head_lines.too_large(
                self._head_bytes, self.max_head_bytes
            )

    def _feed(self, chunk: bytes) -> None:
        self._parser.feed_data(chunk)

    def _check_framing_size(self, received: int) -> None:
        self._framing_bytes += received
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._error = http_heads.MessageError(
                f'got {self._framing_bytes} bytes of chunk extensions or '
                f'trailers, expected at most {MAX_FRAMING_BYTES}',
            )

    def _queue_head(
        self, head: http_heads.RequestHead | http_heads.ResponseHead
    ) -> None:
        self._events.append(head)
        self._in_head = False


@typing.final
class RequestReader(_Reader):
    """Reads the requests of one caller's connection."""

    def __init__(
        self,
        connection: typing.Any,
        header_filter: header_names.HeaderFilter = header_names.DEFAULT_FILTER,
        on_begin: typing.Callable[[], None] = _ignore_begin,
    ) -> None:
        """Reads from ``connection``, a gevent socket.

        ``on_begin`` is called with the first byte of each request.
        """
        super().__init__(connection, header_filter)
        self._parser = httptools.HttpRequestParser(self)
        self._url = b''
        #: Bytes of a body of known length that are not parsed yet.
        self._body_bytes = 0
        self._on_begin = on_begin

    def on_message_begin(self) -> None:
        """Called by the parser."""
        super().on_message_begin()
        self._url = b''
        self._on_begin()

    def drop(self) -> None:
        """Frees what was kept beside the events; ends the reading."""
        super().drop()
        self._url = b''
        self._on_begin = _ignore_begin

    def on_url(self, url: bytes) -> None:
        """Called by the parser, possibly once per part."""
        self._lines.count(len(url), self.max_head_bytes)
        self._url += url

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        version = self._parser.get_http_version()
        if version not in _VERSIONS:
            raise http_heads.MessageError(
                f'got HTTP/{version}, expected 1.0 or 1.1'
            )
        if self._parser.should_upgrade():
            raise http_heads.UpgradeNotSupportedError(
                'protocol upgrades and CONNECT are not supported',
            )
        framing, length = http_heads.body_framing(self._lines.known)
        head = http_heads.RequestHead(
            self._parser.get_method(),
            self._url,
            self._lines.finish(),
            self._lines.known,
            framing,
            length,
            self._parser.should_keep_alive(),
            version == '1.0',
        )
        self._body_bytes = length
        self._queue_head(head)

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        super().on_body(body)
        self._body_bytes -= len(body)

    def _most_received(self) -> int:
        """Returns how many bytes are received at once.

        What stands behind a body of known length is not received with it.
        """
        most = super()._most_received()
        if not self._in_head and self._body_bytes > 0:
            return min(most, self._body_bytes)
        return most

    def _piece_end(self, received: bytes) -> int:
        """Returns the end of what is parsed at once.

        A parsed head holds many times its size, so the next one is parsed
        once it is served. The body of a known length is parsed as a whole.
        """
        if not self._in_head and self._body_bytes > 0:
            return min(self._body_bytes, len(received))
        start = _PIECE_BYTES
        if self._in_head:
            # Empty lines before a request end no head.
            start = len(received) - len(received.lstrip(http_heads.LINE_END))
        found = received.find(_HEAD_END, start)
        end = len(received) if found < 0 else found + len(_HEAD_END)
        odd = received.find(_ODD_HEAD_END, start, end)
        return end if odd < 0 else odd + len(_ODD_HEAD_END)

    def take_head(self) -> http_heads.RequestHead | None:
        """Returns the next request if all of its head was received.

        Raises http_heads.MessageError if what follows is malformed.
        """
        if not self._events:
            if self._error:
                raise self._error
            return None
        head: http_heads.RequestHead = self._events.popleft()
        return head

    def read_head(self) -> http_heads.RequestHead | None:
        """Returns the next request, None if the caller closed cleanly.

        Raises http_heads.MessageError, http_heads.CutShortError and OSError.
        """
        while not self._events:
            if not self.receive():
                if self._in_message:
                    raise http_heads.CutShortError(
                        'the caller closed the connection in the middle of '
                        'a request'
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
        header_filter: header_names.HeaderFilter = header_names.DEFAULT_FILTER,
    ) -> None:
        """Reads from ``connection``, a gevent socket."""
        super().__init__(connection, header_filter)
        self._parser = httptools.HttpResponseParser(self)
        self._status_line = status_lines.StatusLineCheck()
        #: Whether the end of the connection is no end of an answer. The kernel
        #: reports a reset once, be it to a task that sends; a task that reads
        #: then sees an end like that of a closed connection.
        self.is_broken = False

    def on_message_begin(self) -> None:
        """Called by the parser."""
        super().on_message_begin()
        self._status_line.begin()

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        status = self._parser.get_status_code()
        self._status_line.check(self._parser.get_http_version(), status)
        framing, length = http_heads.body_framing(self._lines.known)
        if status < status_lines.FIRST_FINAL_STATUS:
            self._status_line.check_interim(framing, length)
        if (
            status in NO_BODY_STATUSES
            or status < status_lines.FIRST_FINAL_STATUS
        ):
            framing = http_heads.Framing.NONE
        elif framing is http_heads.Framing.NONE and length < 0:
            framing = http_heads.Framing.UNTIL_CLOSE
        self._queue_head(
            http_heads.ResponseHead(
                status,
                self._lines.finish(),
                self._lines.known,
                framing,
                max(length, 0),
                self._parser.should_keep_alive(),
            ),
        )

    def _feed(self, chunk: bytes) -> None:
        for part in status_lines.split_interim(chunk):
            self._status_line.add(part, is_in_message=self._in_message)
            self._parser.feed_data(part)

    def read_head(self) -> http_heads.ResponseHead:
        """Returns the final response head; skips interim (1xx) responses.

        Raises http_heads.MessageError, http_heads.CutShortError and OSError.
        """
        while True:
            head: http_heads.ResponseHead = self._next_event()
            if head.status >= status_lines.FIRST_FINAL_STATUS:
                return head
            if head.status == _SWITCHING_PROTOCOLS:
                raise http_heads.MessageError(
                    'got status 101 without a request to switch protocols'
                )
            self._next_event()

    def read_until_close(self) -> bytes | None:
        """Returns the next part of a body that ends with the connection.

        Raises http_heads.MessageError, and OSError or http_heads.CutShortError
        if the connection was reset or interrupted.
        """
        while not self._events:
            if not self.receive():
                if self.is_broken:
                    raise http_heads.CutShortError(
                        'the connection was reset before the end of the answer'
                    )
                return None
        return self.read_part()


def _as_message_error(cause: BaseException | None) -> http_heads.MessageError:
    if isinstance(cause, http_heads.MessageError):
        return cause
    return http_heads.MessageError(f'malformed HTTP message: {cause}')
