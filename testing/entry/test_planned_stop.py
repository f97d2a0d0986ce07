"""Tests of a planned stop: no accepted request may be cut off."""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent
from gevent import monkey, socket

from mulberryquay.coordination import clock
from mulberryquay.entry import daemon, messages, planned_stop
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

#: Sockets that block the whole process, so that the entry's tasks do not run.
_BLOCKING_SOCKET: typing.Final = monkey.get_original('socket', 'socket')
_CONNECTIONS: typing.Final = 8
_REQUEST: typing.Final = fixtures.request_bytes('/stock/sleep/100')
_LATE_REQUEST: typing.Final = fixtures.request_bytes('/stock/sleep/400')
_LONG_REQUEST: typing.Final = fixtures.request_bytes('/stock/sleep/9000')


def _connect_blocking(port: int, raw: bytes) -> typing.Any:
    connection = _BLOCKING_SOCKET()
    connection.connect(('127.0.0.1', port))
    connection.sendall(raw)
    return connection


def _receive(connection: typing.Any) -> fixtures.Response:
    """Reads the answer on a connection opened by `_connect_blocking`."""
    wrapped = socket.socket(fileno=connection.detach())
    wrapped.settimeout(fixtures.TIMEOUT_S)
    try:
        return fixtures.receive(messages.ResponseReader(wrapped))
    finally:
        wrapped.close()


class Scene(typing.NamedTuple):
    """An entry that serves, and its control host."""

    control: fixtures.Control
    entry: daemon.EntryDaemon
    stand_in: target.StandInTarget


@contextlib.contextmanager
def _scene() -> typing.Iterator[Scene]:
    with (
        fixtures.control() as control,
        fixtures.announced_target(control, 'a', slots=64) as stand_in,
        fixtures.entry(control) as entry,
    ):
        control.declare()
        fixtures.wait_for_targets(entry, 'a')
        control.wait_in_force()
        yield Scene(control, entry, stand_in)


def test_connections_in_the_accept_queue_are_served() -> None:
    """Closing the port must not reset what it has not accepted yet."""
    with _scene() as scene:
        waiting = [
            _connect_blocking(scene.entry.port, _REQUEST)
            for _ in range(_CONNECTIONS)
        ]
        stopping = gevent.spawn(scene.entry.stop)
        for connection in waiting:
            answer = _receive(connection)
            CASE.assertEqual(answer.outcome, 'answered/none')
            CASE.assertEqual(answer.headers['connection'], 'close')
        stopping.get()


def test_connection_accepted_at_the_last_moment_is_served() -> None:
    """A stop must see a connection whose task has not begun."""
    with _scene() as scene:
        for delay_us in range(0, 2000, 250):
            with (
                CASE.subTest(delay_us),
                fixtures.entry(
                    scene.control, f'entry-{delay_us}', drain_ms=1
                ) as stopping_entry,
            ):
                fixtures.wait_for_targets(stopping_entry, 'a')
                port = stopping_entry.port
                stopping = gevent.spawn(stopping_entry.stop)
                gevent.sleep(delay_us / 1e6)
                try:
                    connection = _connect_blocking(port, _REQUEST)
                except ConnectionRefusedError:
                    continue
                CASE.assertEqual(_receive(connection).outcome, 'answered/none')
                stopping.get()


def test_new_connection_may_send_its_first_request_while_stopping() -> None:
    """A request on its way when the port closes must be served."""
    with _scene() as scene:
        connection = _connect_blocking(scene.entry.port, b'')
        stopping = gevent.spawn(scene.entry.stop)
        gevent.sleep(0.1)
        connection.sendall(_REQUEST)
        CASE.assertEqual(_receive(connection).outcome, 'answered/none')
        stopping.get()


def test_request_that_arrives_as_its_connection_is_closed_is_served() -> None:
    """Ending an idle connection must not discard a request that arrived."""
    with _scene() as scene:
        connection = _connect_blocking(
            scene.entry.port, fixtures.request_bytes('/none')
        )
        CASE.assertTrue(_read_refusal(connection))
        gevent.sleep(0.05)
        # No task runs between these two, so the entry has not read it.
        connection.sendall(_REQUEST)
        for open_connection in list(scene.entry.caller_connections):
            open_connection.close_if_idle()
        CASE.assertEqual(_receive(connection).outcome, 'answered/none')


def _read_refusal(connection: typing.Any) -> bytes:
    connection.setblocking(False)
    fixtures.wait_until(lambda: _is_readable(connection))
    received: bytes = connection.recv(messages.READ_BYTES)
    connection.setblocking(True)
    return received


def _is_readable(connection: typing.Any) -> bool:
    try:
        return bool(connection.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False


def test_request_that_comes_too_late_to_end_is_refused_at_once() -> None:
    """Issue 28: it must not be passed on and cut off with no answer."""
    with _scene() as scene:
        fixtures.ask(scene.entry, '/stock/sleep/400')
        with fixtures.entry(
            scene.control, 'stopping', stop_timeout_ms=700
        ) as stopping_entry:
            fixtures.wait_for_targets(stopping_entry, 'a')
            fixtures.ask(stopping_entry, '/stock/sleep/400')
            runs = scene.stand_in.runs.total()
            connection = _connect_blocking(stopping_entry.port, b'')
            stopping = gevent.spawn(stopping_entry.stop)
            gevent.sleep(0.45)
            connection.sendall(_LATE_REQUEST)
            answer = _receive(connection)
            CASE.assertEqual(answer.outcome, 'not-run/entry-stopping')
            CASE.assertEqual(answer.headers['connection'], 'close')
            CASE.assertEqual(scene.stand_in.runs.total(), runs)
            stopping.get()


def test_request_that_runs_at_the_end_of_a_stop_gets_an_answer() -> None:
    """Its caller must learn that the outcome is unknown."""
    with _scene() as scene:
        connection = _connect_blocking(scene.entry.port, _LONG_REQUEST)
        fixtures.wait_until(lambda: scene.stand_in.in_flight)
        stopping = gevent.spawn(scene.entry.stop)
        answer = _receive(connection)
        CASE.assertEqual(answer.outcome, 'unknown/entry-stopping')
        CASE.assertEqual(answer.headers['connection'], 'close')
        stopping.get()


def test_request_is_taken_only_if_it_can_be_expected_to_end() -> None:
    """Slow services must refuse earlier in a stop than fast ones."""
    manual_clock = clock.ManualClock()
    stop = planned_stop.PlannedStop(manual_clock)
    CASE.assertTrue(stop.leaves_time_for(timeout=9000, usual=9000))
    stop.begin(4000)
    CASE.assertTrue(stop.leaves_time_for(timeout=9000, usual=900))
    CASE.assertFalse(stop.leaves_time_for(timeout=9000, usual=1100))
    CASE.assertTrue(stop.leaves_time_for(timeout=3000, usual=1100))
    CASE.assertTrue(stop.leaves_time_for(timeout=9000, usual=0))
    manual_clock.advance(2001)
    CASE.assertFalse(stop.leaves_time_for(timeout=9000, usual=0))
    CASE.assertFalse(stop.has_ended)
    manual_clock.advance(2000)
    CASE.assertTrue(stop.has_ended)
