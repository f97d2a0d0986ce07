"""Tests of message encoding: compression and malformed input."""

from __future__ import annotations

import typing
import unittest
import zlib

import hypothesis
import msgpack
from hypothesis import strategies

from mulberryquay import protocol
from mulberryquay.coordination import wire
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
