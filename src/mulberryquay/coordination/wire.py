"""Typed messages as msgpack arrays over a stream socket.

Long messages are compressed, because traffic between regions is billed and
lists of targets or routes compress well.
"""

from __future__ import annotations

import typing
import zlib

import msgpack
from gevent import lock, socket

from mulberryquay.coordination import clock, errors, packing, read_turn, units

_READ_BYTES: typing.Final = 65536
#: Buffer for finding the end of a message; it grows with long ones.
_SCAN_BYTES: typing.Final = 16_384
#: Length of messages whose buffer is kept for the next ones.
_KEPT_SCAN_BYTES: typing.Final = 65_536
_MAX_MESSAGE_BYTES: typing.Final = units.MAX_BODY_BYTES

#: Length from which messages are compressed; shorter ones gain little.
_COMPRESS_BYTES: typing.Final = 512

#: Longest name, version or id in a message, in characters or bytes.
MAX_TEXT_LENGTH: typing.Final = 1024

#: Limits of the elements that an array or map may announce.
_MAX_ELEMENTS: typing.Final = 1_000_000

#: The msgpack extension type of a compressed message.
_COMPRESSED: typing.Final = 1

#: Default timeout for connecting to a peer.
CONNECT_TIMEOUT_MS: typing.Final = 2000.0


@typing.final
class ProtocolError(errors.MulberryquayError):
    """The peer sent bytes that are not a message of the codec."""

    code = 'protocol-error'


@typing.final
class StreamClosedError(errors.MulberryquayError):
    """The stream is closed or the peer cannot be reached."""

    code = 'stream-closed'


def _ignore_size(_size: int) -> None:
    """Does nothing with what a message takes so far."""


@typing.final
class MessageCodec:
    """Encodes and decodes NamedTuples; the position of a type is its tag."""

    def __init__(self, message_types: typing.Sequence[type]) -> None:
        """Tags ``message_types``, which must be NamedTuples, by position."""
        self._types = tuple(message_types)
        self._tags = {kind: tag for tag, kind in enumerate(self._types)}

    def extended(self, message_types: typing.Sequence[type]) -> MessageCodec:
        """Returns a codec with more message types after its own."""
        return MessageCodec((*self._types, *message_types))

    def fields_of(self, message: tuple[typing.Any, ...]) -> list[typing.Any]:
        """Returns the tag and the fields of a message, for `decode`."""
        return [self._tags[type(message)], *message]

    def encode(self, message: tuple[typing.Any, ...]) -> bytes:
        """Returns the message as one msgpack array.

        Raises UnencodableError.
        """
        body = packing.pack(self.fields_of(message))
        if len(body) < _COMPRESS_BYTES:
            return body
        return packing.pack(msgpack.ExtType(_COMPRESSED, zlib.compress(body)))

    def _type_of(self, tag: int) -> type:
        if tag < 0:
            raise ProtocolError(f'got message tag {tag}, expected 0 or more')
        return self._types[tag]

    def decode(
        self,
        fields: typing.Any,
        on_unpacked: typing.Callable[[int], None] = _ignore_size,
    ) -> typing.Any:
        """Returns the typed message; raises ProtocolError.

        ``on_unpacked`` is called with what a compressed message takes so far,
        and may raise StreamClosedError.
        """
        if isinstance(fields, msgpack.ExtType):
            fields = _decompress(fields, on_unpacked)
        return self.from_fields(fields)

    def from_fields(self, fields: typing.Any) -> typing.Any:
        """Returns the message of its `fields_of`; raises ProtocolError."""
        if isinstance(fields, msgpack.ExtType):
            raise ProtocolError('got a compressed message inside another one')
        try:
            return self._type_of(fields[0])(*fields[1:])
        except (TypeError, IndexError, KeyError) as error:
            raise ProtocolError(
                f'got a message that this version cannot decode: {error}',
            ) from error


def _decompress(
    packed: msgpack.ExtType, on_unpacked: typing.Callable[[int], None]
) -> typing.Any:
    """Returns the fields of a compressed message; raises ProtocolError."""
    decompressor = zlib.decompressobj()
    body = bytearray()
    compressed = packed.data
    try:
        while not decompressor.eof:
            part = decompressor.decompress(compressed, _READ_BYTES)
            compressed = decompressor.unconsumed_tail
            if not part and not decompressor.eof:
                raise ProtocolError('got a compressed message without its end')
            body += part
            on_unpacked(len(body))
            if len(body) > _MAX_MESSAGE_BYTES:
                raise ProtocolError(
                    f'got a message of more than {_MAX_MESSAGE_BYTES} bytes',
                )
        _check_whole(body)
        return packing.unpack(body)
    except (zlib.error, ValueError, msgpack.UnpackException) as error:
        raise ProtocolError(f'got a damaged message: {error}') from error


def _check_whole(body: bytearray) -> None:
    """Raises an error unless a message has all that it announces.

    Decoding reserves memory for elements before it reaches them.
    """
    scanner = msgpack.Unpacker(max_buffer_size=_MAX_MESSAGE_BYTES)
    scanner.feed(body)
    scanner.skip()


Greeting = typing.TypeVar('Greeting')


def check_hello(
    message: typing.Any,
    expected: type[Greeting],
    *,
    version: int,
    oldest_version: int | None = None,
) -> Greeting:
    """Returns the first message of a peer if it has the expected type.

    ``expected`` must have a field ``protocol_version``. Raises ProtocolError
    for another message type or protocol version; versions from
    ``oldest_version`` on are accepted if it is given.
    """
    if not isinstance(message, expected):
        raise ProtocolError(
            'expected Hello as the first message, got another message',
        )
    got = getattr(message, 'protocol_version', None)
    accepted = range(
        version if oldest_version is None else oldest_version, version + 1
    )
    if got not in accepted:
        raise ProtocolError(
            f'got protocol version {got}, expected {version}; use matching '
            'releases',
        )
    return message


def check_texts(message: tuple[typing.Any, ...]) -> None:
    """Raises ProtocolError for a message with a longer text than any has.

    For messages whose names and ids the receiver keeps.
    """
    unread: list[typing.Any] = [message]
    while unread:
        part = unread.pop()
        if isinstance(part, str | bytes):
            if len(part) > MAX_TEXT_LENGTH:
                raise ProtocolError(
                    f'got a text of {len(part)} characters in a message, '
                    f'expected at most {MAX_TEXT_LENGTH}',
                )
        elif isinstance(part, dict):
            unread.extend(part)
            unread.extend(part.values())
        elif isinstance(part, list | tuple):
            unread.extend(part)


def _not_a_message(error: Exception) -> ProtocolError:
    return ProtocolError(f'got bytes that are not a message: {error}')


def _new_scanner() -> typing.Any:
    return msgpack.Unpacker(
        read_size=_SCAN_BYTES, max_buffer_size=_MAX_MESSAGE_BYTES
    )


@typing.final
class Stream:
    """A message stream over one connected socket.

    Many greenlets may send, but only one may receive.
    """

    def __init__(
        self,
        connection: typing.Any,
        codec: MessageCodec,
        on_buffered: typing.Callable[[int], None] = _ignore_size,
    ) -> None:
        """Takes ownership of ``connection``, a connected gevent socket.

        ``on_buffered`` is called with the size of what was received of an
        unfinished message, and may raise StreamClosedError.
        """
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = connection
        self._codec = codec
        self._send_lock = lock.BoundedSemaphore(1)
        self._turn = read_turn.ReadTurn()
        self._on_buffered = on_buffered
        #: Finds the ends of messages, without building what they announce.
        self._scanner: typing.Any = _new_scanner()
        self._scanned = 0
        #: What was received and not decoded.
        self._buffer = bytearray()
        #: Size of the last message that was received, uncompressed.
        self.message_bytes = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def is_sending(self) -> bool:
        """Whether a message waits until the peer reads."""
        return bool(self._send_lock.locked())

    def send(self, message: tuple[typing.Any, ...]) -> None:
        """Sends one message; raises StreamClosedError and UnencodableError."""
        body = self._codec.encode(message)
        try:
            with self._send_lock:
                self._socket.sendall(body)
        except OSError as error:
            raise StreamClosedError(f'send failed: {error}') from error
        self.bytes_sent += len(body)

    def receive(self) -> typing.Any:
        """Returns the next message.

        Raises StreamClosedError and ProtocolError.
        """
        while True:
            if self._scanner is None:
                raise StreamClosedError('the stream is closed')
            try:
                self._scanner.skip()
            except msgpack.OutOfData:
                self._fill_buffer()
            except (msgpack.UnpackException, ValueError) as error:
                raise _not_a_message(error) from error
            else:
                return self._decode(self._take_fields())

    def _decode(self, fields: typing.Any) -> typing.Any:
        """Returns the typed message; counts what a compressed one takes."""
        if not isinstance(fields, msgpack.ExtType):
            return self._codec.from_fields(fields)
        try:
            return self._codec.decode(fields, self._count_unpacked)
        finally:
            self._on_buffered(len(self._buffer))

    def _count_unpacked(self, size: int) -> None:
        self.message_bytes = size
        self._on_buffered(len(self._buffer) + size)

    def _take_fields(self) -> typing.Any:
        """Decodes the message that the scanner has passed."""
        end = self._scanner.tell()
        size = end - self._scanned
        self._scanned = end
        self.message_bytes = size
        with memoryview(self._buffer) as received:
            body = bytes(received[:size])
        del self._buffer[:size]
        if size > _KEPT_SCAN_BYTES:
            # Its buffer never shrinks.
            self._scanner = _new_scanner()
            self._scanner.feed(self._buffer)
            self._scanned = 0
        self._on_buffered(len(self._buffer))
        try:
            return msgpack.unpackb(
                body,
                max_array_len=_MAX_ELEMENTS,
                max_map_len=_MAX_ELEMENTS,
                ext_hook=packing.decode_extension,
            )
        except (msgpack.UnpackException, ValueError) as error:
            raise _not_a_message(error) from error

    def _fill_buffer(self) -> None:
        self._turn.begin_read()
        try:
            chunk = self._socket.recv(_READ_BYTES)
        except OSError as error:
            raise StreamClosedError(f'receive failed: {error}') from error
        if not chunk:
            raise StreamClosedError('the peer closed the stream')
        self._turn.end_read(len(chunk))
        self.bytes_received += len(chunk)
        if len(self._buffer) + len(chunk) > _MAX_MESSAGE_BYTES:
            raise ProtocolError(
                f'got a message of more than {_MAX_MESSAGE_BYTES} bytes',
            )
        self._buffer += chunk
        self._scanner.feed(chunk)
        self._on_buffered(len(self._buffer))

    def set_timeout(self, duration: float | None) -> None:
        """Sets the timeout of each later call in ms; None for no timeout."""
        self._socket.settimeout(
            duration and duration / clock.MS_PER_SECOND,
        )

    def stop_waiting(self) -> None:
        """Makes later calls fail where they would wait for the peer.

        What has arrived can still be received.
        """
        self._socket.settimeout(0)

    def close(self) -> None:
        """Closes the socket; later calls raise StreamClosedError."""
        self._socket.close()
        # Its owner may be kept until the garbage collector runs.
        self._scanner = None
        self._buffer = bytearray()


def connect(
    address: tuple[str, int],
    codec: MessageCodec,
    *,
    timeout: float = CONNECT_TIMEOUT_MS,
) -> Stream:
    """Returns a new stream to ``address``; raises StreamClosedError.

    ``timeout`` is in ms.
    """
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
