"""Tests of message encoding: compression and malformed input."""

from __future__ import annotations

import typing
import unittest
import zlib

import gevent
import hypothesis
import msgpack
from hypothesis import strategies

from mulberryquay import protocol
from mulberryquay.coordination import units, wire
from mulberryquay.entry import domain_messages
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def _decode(body: bytes) -> typing.Any:
    return protocol.CODEC.decode(msgpack.unpackb(body))


def test_long_messages_are_compressed_and_read_back() -> None:
    """A list of similar rows must shrink to less than a quarter."""
    rows = [[f'target-{number}', 'service'] for number in range(200)]
    message = protocol.ConfigDelta(rows)
    body = protocol.CODEC.encode(message)
    plain = msgpack.packb(protocol.CODEC.fields_of(message))
    CASE.assertLess(len(body) * 4, len(plain))
    CASE.assertEqual(_decode(body), message)


def test_short_messages_stay_as_they_are() -> None:
    """Heartbeats, sent twice a second, must stay a few bytes long."""
    heartbeat = protocol.HeartbeatAnswer(7, 3000)
    body = protocol.CODEC.encode(heartbeat)
    CASE.assertLess(len(body), 10)
    CASE.assertEqual(_decode(body), heartbeat)


def test_message_that_decompresses_beyond_the_limit_is_refused() -> None:
    """A small compressed message must not exhaust the memory."""
    bomb = zlib.compress(bytes(80 << 20))
    with CASE.assertRaises(wire.ProtocolError):
        protocol.CODEC.decode(msgpack.ExtType(1, bomb))


@fixtures.hypothesis_settings(200)
@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=64).map(
            lambda body: msgpack.ExtType(1, body),
        ),
        strategies.recursive(
            strategies.none()
            | strategies.integers()
            | strategies.text(max_size=4),
            lambda inner: strategies.lists(inner, max_size=4),
            max_leaves=8,
        ),
    ),
)
def test_malformed_fields_are_a_typed_error(fields: typing.Any) -> None:
    """Malformed fields must raise ProtocolError, which ends the stream."""
    try:
        protocol.CODEC.decode(fields)
    except wire.ProtocolError:
        return


class EndlessSocket:
    """A socket that always has the same bytes to read."""

    def __init__(self, block: bytes) -> None:
        """Returns ``block`` from each read, up to a number of reads."""
        self._block = block
        self.reads = 0

    def setsockopt(self, *_option: int) -> None:
        """Accepts all options."""

    def recv(self, _size: int) -> bytes:
        """Returns the block; ends the test after very many reads."""
        self.reads += 1
        if self.reads > _MAX_READS:
            raise ConnectionResetError('the reader did not stop')
        return self._block


_MAX_READS: typing.Final = 4000
_BLOCK_BYTES: typing.Final = 65536


def test_stream_of_bytes_that_are_no_message_is_ended() -> None:
    """Endless nils, openings or lengths must end the stream, in few bytes."""
    for name, block in (
        ('nils', b'\xc0' * _BLOCK_BYTES),
        ('numbers', b'\x01' * _BLOCK_BYTES),
        ('openings', b'\x91' * _BLOCK_BYTES),
        ('huge array', b'\xdd\xff\xff\xff\xff' + b'\x00' * _BLOCK_BYTES),
        ('reserved', b'\xc1' * _BLOCK_BYTES),
        ('negative tag', b'\x91\xff' * _BLOCK_BYTES),
        ('long text', b'\xdb\xff\xff\xff\xff' + b'x' * _BLOCK_BYTES),
    ):
        with CASE.subTest(name):
            connection = EndlessSocket(block)
            stream = wire.Stream(connection, protocol.CODEC)
            with CASE.assertRaises(wire.ProtocolError):
                stream.receive()
            CASE.assertLess(connection.reads, _MAX_READS)


def test_peer_that_sends_without_pause_does_not_stop_other_tasks() -> None:
    """A task that receives endless valid messages must let others run."""
    message = protocol.CODEC.encode(protocol.HeartbeatAnswer(7, 3000))
    block = message * (_BLOCK_BYTES // len(message))
    connection = EndlessSocket(block)
    stream = wire.Stream(connection, protocol.CODEC)

    def receive_all() -> None:
        while True:
            stream.receive()

    receiver = gevent.spawn(receive_all)
    gevent.sleep(0.001)
    reads = connection.reads
    receiver.kill()
    CASE.assertGreater(reads, 0)
    CASE.assertLess(reads, _MAX_READS)


def _compressed(content: bytes) -> msgpack.ExtType:
    return msgpack.ExtType(1, zlib.compress(content))


def test_compressed_message_ends_where_its_reader_says() -> None:
    """A short message may be one of 64 MiB."""
    sizes = []

    def check(size: int) -> None:
        sizes.append(size)
        if size > units.MIB:
            raise wire.StreamClosedError('too large')

    fields = _compressed(msgpack.packb([0, bytes(8 * units.MIB)]))
    with CASE.assertRaises(wire.StreamClosedError):
        protocol.CODEC.decode(fields, check)
    CASE.assertLess(sizes[-1], 2 * units.MIB)


def test_compressed_message_inside_another_is_refused() -> None:
    """Nobody sends one, and nothing counts what it takes."""
    inner = _compressed(msgpack.packb([0]))
    with CASE.assertRaises(wire.ProtocolError):
        protocol.CODEC.from_fields(inner)
    with CASE.assertRaises(wire.ProtocolError):
        protocol.CODEC.decode(_compressed(msgpack.packb(inner)))


def test_compressed_datagram_of_a_megabyte_is_refused() -> None:
    """One of 64 KiB may be of 64 MiB."""
    content = msgpack.packb([1, 7, [bytes(2 * units.MIB)]])
    with CASE.assertRaisesRegex(wire.ProtocolError, 'datagram of more than'):
        domain_messages.decode(msgpack.packb(_compressed(content)))


def test_compressed_messages_of_all_sizes_are_read_back() -> None:
    """The end of the compressed bytes may come after that of the message."""
    for size in range(65_520, 65_540):
        message = protocol.ConfigDelta([['x' * size]])
        CASE.assertEqual(_decode(protocol.CODEC.encode(message)), message)
