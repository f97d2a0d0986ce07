"""Tests of a planned stop: no accepted request may be cut off."""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent
from gevent import monkey, socket

from mulberryquay.entry import daemon, messages
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

#: Sockets that block the whole process, so that the entry's tasks do not run.
_BLOCKING_SOCKET: typing.Final = monkey.get_original('socket', 'socket')
_CONNECTIONS: typing.Final = 8
_REQUEST: typing.Final = fixtures.request_bytes('/stock/sleep/100')


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


@contextlib.contextmanager
def _scene() -> typing.Iterator[Scene]:
    with (
        fixtures.control() as control,
        fixtures.announced_target(control, 'a', slots=64),
        fixtures.entry(control) as entry,
    ):
        control.declare()
        fixtures.wait_for_targets(entry, 'a')
        control.wait_in_force()
        yield Scene(control, entry)


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
