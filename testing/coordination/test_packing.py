"""Tests of encoding: whole numbers of any size, values without encoding."""

from __future__ import annotations

import typing
import unittest

import hypothesis
import msgpack
from hypothesis import strategies

from mulberryquay import protocol
from mulberryquay.coordination import packing, wire
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

#: Versions that operators may choose: dates in microseconds and larger.
_BIG_VERSIONS: typing.Final = (1 << 64, 20261205084714000001, 10**300)


class OneBlockSocket:
    """A socket from which one block can be read."""

    def __init__(self, block: bytes) -> None:
        """Returns ``block`` from the first read."""
        self._block = block

    def setsockopt(self, *_option: int) -> None:
        """Accepts all options."""

    def recv(self, _size: int) -> bytes:
        """Returns the block once."""
        block = self._block
        self._block = b''
        return block


@fixtures.hypothesis_settings(200)
@hypothesis.given(strategies.integers())
def test_whole_numbers_of_any_size_are_read_back(number: int) -> None:
    """Guards against versions that no control host can write to its disk."""
    for exact in (number, number << 64, -number << 64):
        CASE.assertEqual(packing.unpack(packing.pack([exact])), [exact])


def test_numbers_that_msgpack_knows_keep_their_encoding() -> None:
    """Guards against records that an earlier release cannot read."""
    for number in ((1 << 64) - 1, -(1 << 63), 0, -1):
        CASE.assertEqual(packing.pack(number), msgpack.packb(number))


def test_big_version_reaches_entries() -> None:
    """Guards against a big version that ends the stream to an entry."""
    for version in _BIG_VERSIONS:
        row = ['routes', 'r', version, None, 1]
        for rows in ([row], [row] * 100):
            body = protocol.CODEC.encode(protocol.ConfigDelta(rows))
            stream = wire.Stream(OneBlockSocket(body), protocol.CODEC)
            CASE.assertEqual(stream.receive(), protocol.ConfigDelta(rows))


def test_value_without_encoding_is_a_typed_error() -> None:
    """Guards against errors that end the task which encodes a message."""
    nested: list[typing.Any] = []
    for _ in range(2000):
        nested = [nested]
    for content in ('\ud800', object(), {1, 2}, nested):
        with CASE.assertRaises(packing.UnencodableError):
            packing.pack(content)
