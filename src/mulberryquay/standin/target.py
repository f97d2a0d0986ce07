"""A stand-in target with slots, load shedding and injected failures."""

from __future__ import annotations

import collections
import json
import struct
import typing

import gevent
from gevent import lock, server, socket

from mulberryquay.coordination import clock, errors
from mulberryquay.entry import header_names, http_heads, messages


#: SO_LINGER with a timeout of 0 s: closing the socket sends a RST.
_LINGER_ZERO: typing.Final = struct.pack('ii', 1, 0)
_SHED_STATUS: typing.Final = 503
_BACKLOG: typing.Final = 256


class Answer(typing.NamedTuple):
    """The answer that a handler returns.

    If ``raw`` is set, these bytes are sent instead of an encoded answer;
    then the connection is closed, or reset if ``resets`` is set, after a
    pause of ``pause_ms``.
    """

    status: int = 200
    body: bytes = b''
    headers: typing.Sequence[tuple[bytes, bytes]] = ()
    raw: bytes | None = None
    resets: bool = False
    pause_ms: float = 0


class ReceivedRequest(typing.NamedTuple):
    """A request as the stand-in target received it."""

    head: http_heads.RequestHead
    body: bytes


Handler = typing.Callable[[ReceivedRequest], Answer]


@typing.final
class StandInTarget:
    """Serves HTTP; requests beyond the slots wait or are shed."""

    def __init__(
        self,
        handler: Handler,
        *,
        slots: int = 6,
        sheds: bool = False,
        address: str = '127.0.0.1',
        time_source: clock.Clock | None = None,
    ) -> None:
        """Opens a port; ``sheds`` refuses requests beyond the slots."""
        self._handler = handler
        self._slots = slots
        self._sheds = sheds
        self._clock = time_source or clock.Clock()
        self._free_slots = lock.BoundedSemaphore(slots)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address, 0))
        listener.listen(_BACKLOG)
        self._server = server.StreamServer(listener, self._serve)
        self._sockets: set[typing.Any] = set()
        self.address = f'{address}:{listener.getsockname()[1]}'
        #: Requests that run or wait now, and the largest number so far.
        self.in_flight = 0
        self.max_in_flight = 0
        #: Number of runs by method and path.
        self.runs: collections.Counter[str] = collections.Counter()
        self.request_ids: list[bytes] = []

    def start(self) -> None:
        """Starts serving."""
        self._server.start()

    def stop(self) -> None:
        """Closes the port and all connections, as a crash would."""
        self._server.stop(timeout=0)
        for connection in list(self._sockets):
            connection.close()

    def _serve(self, connection: typing.Any, _address: typing.Any) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sockets.add(connection)
        reader = messages.RequestReader(connection)
        try:
            while True:
                head = reader.read_head()
                if head is None:
                    return
                if not self._answer(connection, head, _read_body(reader)):
                    return
        except (OSError, errors.MulberryquayError):
            return
        finally:
            self._sockets.discard(connection)
            connection.close()

    def _answer(
        self,
        connection: typing.Any,
        head: http_heads.RequestHead,
        body: bytes,
    ) -> bool:
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            answer = self._run(ReceivedRequest(head, body))
        finally:
            self.in_flight -= 1
        if answer.raw is not None:
            connection.sendall(answer.raw)
            self._clock.sleep(answer.pause_ms)
            if answer.resets:
                connection.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    _LINGER_ZERO,
                )
            return False
        connection.sendall(_encode(answer, self.in_flight + 1))
        return True

    def _run(self, received: ReceivedRequest) -> Answer:
        if self._sheds and self.in_flight > self._slots:
            return Answer(
                _SHED_STATUS, b'busy\n', [(header_names.NOT_RUN, b'1')]
            )
        with self._free_slots:
            head = received.head
            self.runs[f'{head.method.decode()} {head.path.decode()}'] += 1
            self.request_ids.append(
                head.find(b'mulberryquay-request-id') or b''
            )
            return self._handler(received)


def echo_handler(target_name: str) -> Handler:
    """Returns a handler that describes each request as JSON.

    For a path that contains ``/sleep/N`` it first waits N milliseconds.
    """

    def handle(received: ReceivedRequest) -> Answer:
        path = received.head.path.decode('latin-1')
        _, is_slow, duration = path.partition('/sleep/')
        if is_slow and duration.isdecimal():
            gevent.sleep(int(duration) / clock.MS_PER_SECOND)
        body = json.dumps(
            {
                'target': target_name,
                'method': received.head.method.decode(),
                'path': path,
                'body_bytes': len(received.body),
            },
        )
        return Answer(
            body=body.encode() + b'\n',
            headers=[(b'content-type', b'application/json')],
        )

    return handle


def _read_body(reader: messages.RequestReader) -> bytes:
    parts: list[bytes] = []
    while True:
        part = reader.read_part()
        if part is None:
            return b''.join(parts)
        parts.append(part)


def _encode(answer: Answer, load: int) -> bytes:
    headers = [
        (b'content-length', b'%d' % len(answer.body)),
        (header_names.LOAD, b'%d' % load),
        *answer.headers,
    ]
    status_line = b'HTTP/1.1 %d Answer' % answer.status
    return http_heads.encode_head(status_line, headers) + answer.body
