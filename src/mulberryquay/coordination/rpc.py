"""Remote procedure calls between processes, over one stream per peer."""

from __future__ import annotations

import itertools
import logging
import typing

import gevent
from gevent import event, lock, server

from mulberryquay.coordination import clock, errors, stream_load, wire

#: Timeout for connecting to a peer.
CONNECT_TIMEOUT_MS: typing.Final = 500.0

_LOG: typing.Final = logging.getLogger(__name__)

Message = tuple[typing.Any, ...]


class CallFailedError(errors.MulberryquayError):
    """No answer arrived; the peer may have handled the call."""

    code = 'call-failed'
    http_status = 503


@typing.final
class RemoteError(CallFailedError):
    """The peer's error answer, with its code and HTTP status."""

    def __init__(self, code: str, http_status: int, message: str) -> None:
        """Copies the fields of the peer's error."""
        super().__init__(message)
        self.code = code
        self.http_status = http_status


class _Call(typing.NamedTuple):
    """A call, or the answer with the number of its call."""

    number: int
    fields: list[typing.Any]


class _Failure(typing.NamedTuple):
    """The error that answers the call with the same number."""

    number: int
    code: str
    http_status: int
    message: str


_ENVELOPES: typing.Final = wire.MessageCodec((_Call, _Failure))


@typing.final
class Client:
    """Calls one peer; connects on demand, and again after a failure."""

    def __init__(
        self,
        address: tuple[str, int],
        codec: wire.MessageCodec,
    ) -> None:
        """Does not connect yet; ``codec`` has the calls and their answers."""
        self._address = address
        self._codec = codec
        self._numbers = itertools.count(1)
        self._pending: dict[int, event.AsyncResult] = {}
        self._stream: wire.Stream | None = None
        self._connect_lock = lock.BoundedSemaphore(1)
        #: Bytes on closed streams; those on the open stream are not counted.
        self.bytes_sent = 0
        self.bytes_received = 0

    def call(self, message: Message, *, timeout: float) -> typing.Any:
        """Returns the answer; raises CallFailedError and RemoteError.

        ``timeout`` is in ms. A call that times out closes the stream, whose
        connection may be dead.
        """
        number = next(self._numbers)
        answered: event.AsyncResult = event.AsyncResult()
        self._pending[number] = answered
        stream: wire.Stream | None = None
        try:
            with gevent.Timeout(timeout / clock.MS_PER_SECOND):
                stream = self._ensure_connected()
                stream.send(_Call(number, self._codec.fields_of(message)))
                return answered.get()
        except gevent.Timeout:
            self._close_stream(stream)
            raise CallFailedError(
                f'no answer from {self._address} within {timeout:.0f} ms',
            ) from None
        except wire.StreamClosedError as error:
            self._close_stream(stream)
            raise CallFailedError(str(error)) from error
        finally:
            self._pending.pop(number, None)

    def close(self) -> None:
        """Closes the stream; the next call opens a new one."""
        self._close_stream(self._stream)

    def _ensure_connected(self) -> wire.Stream:
        with self._connect_lock:
            if self._stream is None:
                self._stream = wire.connect(
                    self._address,
                    _ENVELOPES,
                    timeout=CONNECT_TIMEOUT_MS,
                )
                gevent.spawn(self._read, self._stream)
            return self._stream

    def _read(self, stream: wire.Stream) -> None:
        try:
            while True:
                self._dispatch(stream.receive())
        except (wire.StreamClosedError, wire.ProtocolError) as error:
            self._close_stream(stream)
            _LOG.debug('stream ended', extra={'cause': str(error)})

    def _dispatch(self, message: _Call | _Failure) -> None:
        answered = self._pending.get(message.number)
        if answered is None:
            return
        match message:
            case _Call():
                answered.set(self._codec.from_fields(message.fields))
            case _Failure():
                answered.set_exception(
                    RemoteError(
                        message.code,
                        message.http_status,
                        message.message,
                    ),
                )

    def _close_stream(self, stream: wire.Stream | None) -> None:
        if stream is None or self._stream is not stream:
            return
        self._stream = None
        stream.close()
        self.bytes_sent += stream.bytes_sent
        self.bytes_received += stream.bytes_received
        for answered in list(self._pending.values()):
            answered.set_exception(
                CallFailedError(f'the stream to {self._address} was closed'),
            )


@typing.final
class Clients:
    """A client for each peer that was called, by address."""

    def __init__(self, codec: wire.MessageCodec) -> None:
        """Uses ``codec`` for all peers."""
        self._codec = codec
        self._clients: dict[str, Client] = {}

    def call(
        self,
        address: str,
        message: Message,
        *,
        timeout: float,
    ) -> typing.Any:
        """Calls the peer at ``IP:PORT``; see `Client.call`."""
        client = self._clients.get(address)
        if client is None:
            host, _, port = address.rpartition(':')
            client = Client((host, int(port)), self._codec)
            self._clients[address] = client
        return client.call(message, timeout=timeout)

    def close(self) -> None:
        """Closes all streams."""
        for client in self._clients.values():
            client.close()


@typing.final
class Server:
    """Answers calls, each in its own task."""

    def __init__(
        self,
        listener: typing.Any,
        codec: wire.MessageCodec,
        handle: typing.Callable[[typing.Any], Message],
        limits: stream_load.Limits = stream_load.UNLIMITED,
    ) -> None:
        """``handle`` returns the answer or raises MulberryquayError.

        ``limits`` are for the streams of all callers.
        """
        self._codec = codec
        self._handle = handle
        self._server = server.StreamServer(listener, self._serve)
        self._load = stream_load.StreamLoad('hosts', limits)

    @property
    def limits_met(self) -> int:
        """How often a limit of the streams of callers was met."""
        return self._load.limits_met

    def start(self) -> None:
        """Starts to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Stops accepting and closes all streams."""
        self._server.stop(timeout=0)
        self._load.close_all()

    def _serve(self, connection: typing.Any, _address: typing.Any) -> None:
        with self._load.serving(connection, _ENVELOPES) as served:
            if served is None:
                return
            stream = served.messages
            try:
                while True:
                    served.spawn(self._answer, stream, stream.receive())
            except (wire.StreamClosedError, wire.ProtocolError) as error:
                _LOG.debug('stream ended', extra={'cause': str(error)})

    def _answer(self, stream: wire.Stream, call: _Call) -> None:
        answer: Message
        try:
            answer = _Call(
                call.number,
                self._codec.fields_of(
                    self._handle(self._codec.from_fields(call.fields)),
                ),
            )
        except errors.MulberryquayError as error:
            answer = _Failure(
                call.number,
                error.code,
                error.http_status,
                str(error),
            )
        try:
            stream.send(answer)
        except wire.StreamClosedError as error:
            _LOG.debug('answer not sent', extra={'cause': str(error)})
