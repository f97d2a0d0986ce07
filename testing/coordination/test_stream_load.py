"""Tests of what the streams of a port may hold (issue 53)."""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent
from gevent import event, socket

from mulberryquay.coordination import clock, stream_load, units, wire
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


class _Ping(typing.NamedTuple):
    content: typing.Any


_CODEC: typing.Final = wire.MessageCodec((_Ping,))


@contextlib.contextmanager
def _pair(
    load: stream_load.StreamLoad,
) -> typing.Iterator[tuple[wire.Stream, stream_load.ServedStream | None]]:
    """Yields the two ends of a stream that ``load`` serves."""
    near, far = socket.socketpair(socket.AF_UNIX)
    peer = wire.Stream(_WithoutDelay(near), _CODEC)
    with load.serving(_WithoutDelay(far), _CODEC) as served:
        yield peer, served
    peer.close()


class _WithoutDelay:
    """A local socket that accepts the options of TCP."""

    def __init__(self, connection: typing.Any) -> None:
        self._connection = connection

    def setsockopt(self, *_option: int) -> None:
        """Accepts all options."""

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._connection, name)


def test_stream_without_a_message_gives_its_place() -> None:
    """One that sent a whole message must keep it."""
    load = stream_load.StreamLoad('test', stream_load.Limits(streams=2))
    with _pair(load) as (peer, served), _pair(load) as (silent, _):
        CASE.assertIsNotNone(served)
        peer.send(_Ping(1))
        if served is not None:
            CASE.assertEqual(served.messages.receive(), _Ping(1))
        with _pair(load) as (_, third):
            CASE.assertIsNotNone(third)
            with CASE.assertRaises(wire.StreamClosedError):
                silent.receive()
        CASE.assertEqual(load.limits_met, 1)


def test_account_is_empty_once_streams_and_calls_have_ended() -> None:
    """What is given back twice would raise the limit for ever."""
    load = stream_load.StreamLoad(
        'test', stream_load.Limits(memory_bytes=units.MIB)
    )
    ends = event.Event()
    with _pair(load) as (_, served):
        CASE.assertIsNotNone(served)
        if served is not None:
            served.spawn(ends.wait)
            CASE.assertGreater(load.held_bytes, 0)
            served.close()
    ends.set()
    gevent.sleep(0)
    fixtures.wait_until(lambda: load.held_bytes == 0)
    gevent.sleep(0.01)
    CASE.assertEqual(load.held_bytes, 0)


def test_call_counts_until_it_ends_although_its_stream_is_closed() -> None:
    """Peers that were closed at the limit left thousands of calls behind."""
    load = stream_load.StreamLoad('test', stream_load.UNLIMITED)
    ends = event.Event()
    with _pair(load) as (_, served):
        assert served is not None
        stream_bytes = load.held_bytes
        served.spawn(ends.wait)
        call_bytes = load.held_bytes - stream_bytes
        served.spawn(ends.wait)
    CASE.assertEqual(load.held_bytes, 2 * call_bytes)
    ends.set()
    fixtures.wait_until(lambda: load.held_bytes == 0)


def test_call_counts_with_its_message() -> None:
    """Large messages whose calls waited for the disk counted as nothing."""
    load = stream_load.StreamLoad('test', stream_load.UNLIMITED)
    ends = event.Event()
    compressed = _Ping(units.MIB * ' ')
    with _pair(load) as (peer, served):
        assert served is not None
        peer.send(compressed)
        served.spawn(ends.wait, served.messages.receive())
        CASE.assertGreater(load.held_bytes, units.MIB)
    CASE.assertGreater(load.held_bytes, units.MIB)
    ends.set()
    fixtures.wait_until(lambda: load.held_bytes == 0)


@contextlib.contextmanager
def _greeted(
    load: stream_load.StreamLoad,
) -> typing.Iterator[stream_load.ServedStream]:
    """Yields a stream whose first message has arrived."""
    with _pair(load) as (peer, served):
        assert served is not None
        peer.send(_Ping(1))
        CASE.assertEqual(served.messages.receive(), _Ping(1))
        yield served


def test_silent_stream_gives_its_place_unless_a_call_runs() -> None:
    """A call is not ended for a new peer, nor is one that just spoke."""
    time_source = clock.ManualClock()
    load = stream_load.StreamLoad(
        'test', stream_load.Limits(streams=2), time_source
    )
    ends = event.Event()
    with _greeted(load) as busy, _greeted(load) as silent:
        busy.spawn(ends.wait)
        with _pair(load) as (_, newcomer):
            CASE.assertIsNone(newcomer)
        time_source.advance(units.SECOND_MS)
        with _pair(load) as (_, newcomer):
            CASE.assertIsNotNone(newcomer)
            with CASE.assertRaises(wire.StreamClosedError):
                silent.messages.receive()
            with _pair(load) as (_, another):
                CASE.assertIsNotNone(another)
        ends.set()
