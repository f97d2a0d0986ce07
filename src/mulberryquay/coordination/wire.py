"""Typed messages as msgpack arrays over a stream socket.

A long message is compressed: bytes between regions are paid for, and lists
of targets or routes are much alike.
"""

from __future__ import annotations

import typing
import zlib

import msgpack
from gevent import lock, socket

from mulberryquay.coordination import clock, errors, units

_READ_BYTES: typing.Final = 65536
_MAX_MESSAGE_BYTES: typing.Final = units.MAX_BODY_BYTES

#: Messages from this length on are compressed; shorter ones gain little.
_COMPRESS_BYTES: typing.Final = 512

#: Marks a compressed message among the extension types of msgpack.
_COMPRESSED: typing.Final = 1

#: A peer that does not accept a connection for this long is unreachable.
CONNECT_MS: typing.Final = 2000.0


@typing.final
class ProtocolError(errors.MulberryquayError):
    """The peer sent bytes that are no message of the vocabulary."""

    code = 'protocol-error'


@typing.final
class StreamClosedError(errors.MulberryquayError):
    """The peer closed the stream or cannot be reached."""

    code = 'stream-closed'


@typing.final
class MessageCodec:
    """The NamedTuple types of a protocol; their order gives the tags."""

    def __init__(self, message_types: typing.Sequence[type]) -> None:
        """Numbers ``message_types``, which must all be NamedTuples."""
        self._types = tuple(message_types)
        self._tags = {kind: tag for tag, kind in enumerate(self._types)}

    def extended(self, message_types: typing.Sequence[type]) -> MessageCodec:
        """Returns a vocabulary that has more messages behind its own."""
        return MessageCodec((*self._types, *message_types))

    def fields_of(self, message: tuple[typing.Any, ...]) -> list[typing.Any]:
        """Returns the message as a list that `decode` takes."""
        return [self._tags[type(message)], *message]

    def encode(self, message: tuple[typing.Any, ...]) -> bytes:
        """Returns the message as one msgpack array."""
        body: bytes = msgpack.packb(self.fields_of(message))
        if len(body) < _COMPRESS_BYTES:
            return body
        packed = msgpack.ExtType(_COMPRESSED, zlib.compress(body))
        compressed: bytes = msgpack.packb(packed)
        return compressed

    def decode(self, fields: typing.Any) -> typing.Any:
        """Returns the typed message; raises ProtocolError."""
        if isinstance(fields, msgpack.ExtType):
            fields = _decompress(fields)
        try:
            return self._types[fields[0]](*fields[1:])
        except (TypeError, IndexError, KeyError) as error:
            raise ProtocolError(
                f'got a message that this version does not know: {error}',
            ) from error


def _decompress(packed: msgpack.ExtType) -> typing.Any:
    """Returns the fields of a compressed message; raises ProtocolError."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(packed.data, _MAX_MESSAGE_BYTES)
        if not decompressor.eof:
            raise ProtocolError(
                f'got a message of more than {_MAX_MESSAGE_BYTES} bytes',
            )
        return msgpack.unpackb(body)
    except (zlib.error, ValueError) as error:
        raise ProtocolError(f'got a damaged message: {error}') from error


Greeting = typing.TypeVar('Greeting')


def check_hello(
    message: typing.Any,
    expected: type[Greeting],
    *,
    version: int,
) -> Greeting:
    """Returns the first message of a peer.

    ``expected`` has a field ``protocol_version``. Raises ProtocolError for
    another message or version.
    """
    if not isinstance(message, expected):
        raise ProtocolError('got another message, expected Hello')
    got = getattr(message, 'protocol_version', None)
    if got != version:
        raise ProtocolError(
            f'got protocol version {got}, expected {version}; use matching '
            'releases',
        )
    return message


@typing.final
class Stream:
    """A message stream over one connected socket.

    Any number of greenlets may send; one may receive.
    """

    def __init__(self, connection: typing.Any, codec: MessageCodec) -> None:
        """Takes over ``connection``, a connected gevent socket."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = connection
        self._codec = codec
        self._send_lock = lock.BoundedSemaphore(1)
        self._unpacker = msgpack.Unpacker(max_buffer_size=_MAX_MESSAGE_BYTES)
        self.bytes_sent = 0
        self.bytes_received = 0

    def send(self, message: tuple[typing.Any, ...]) -> None:
        """Sends one message; raises StreamClosedError."""
        body = self._codec.encode(message)
        try:
            with self._send_lock:
                self._socket.sendall(body)
        except OSError as error:
            raise StreamClosedError(f'send failed: {error}') from error
        self.bytes_sent += len(body)

    def receive(self) -> typing.Any:
        """Returns the next message; raises StreamClosedError."""
        while True:
            fields = next(self._unpacker, None)
            if fields is not None:
                return self._codec.decode(fields)
            try:
                chunk = self._socket.recv(_READ_BYTES)
            except OSError as error:
                raise StreamClosedError(f'receive failed: {error}') from error
            if not chunk:
                raise StreamClosedError('the peer closed the stream')
            self.bytes_received += len(chunk)
            self._unpacker.feed(chunk)

    def set_timeout(self, duration: float | None) -> None:
        """Bounds each later call to ``duration`` ms; None does not."""
        self._socket.settimeout(
            duration and duration / clock.MS_PER_SECOND,
        )

    def close(self) -> None:
        """Closes the socket; later calls raise StreamClosedError."""
        self._socket.close()


def connect(
    address: tuple[str, int],
    codec: MessageCodec,
    *,
    timeout: float = CONNECT_MS,
) -> Stream:
    """Opens a stream within ``timeout`` ms; raises StreamClosedError."""
    try:
        connection = socket.create_connection(
            address,
            timeout=timeout / clock.MS_PER_SECOND,
        )
    except OSError as error:
        raise StreamClosedError(
            f'connecting to {address[0]}:{address[1]} failed: {error}',
        ) from error
    connection.settimeout(None)
    return Stream(connection, codec)
