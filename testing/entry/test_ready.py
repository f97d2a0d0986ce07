"""Tests of the port for readiness checks."""

from __future__ import annotations

import contextlib
import typing
import unittest
from unittest import mock

import gevent
from gevent import socket

from mulberryquay import sockets
from mulberryquay.coordination import clock
from mulberryquay.entry import ready
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_TIMEOUT_MS: typing.Final = 300.0
_BYTE_INTERVAL_S: typing.Final = 0.1
_MAX_LATE_MS: typing.Final = 500.0


def _send_slowly(connection: typing.Any) -> None:
    with contextlib.suppress(OSError):
        connection.sendall(b'GET /')
        while True:
            connection.sendall(b'x')
            gevent.sleep(_BYTE_INTERVAL_S)


@mock.patch.object(ready, 'REQUEST_TIMEOUT_MS', _TIMEOUT_MS)
def test_slow_request_is_closed_after_the_timeout() -> None:
    """A byte now and then must not keep a connection open."""
    listener = sockets.listen('127.0.0.1:0')
    tested = ready.ReadyServer(listener, '/readyz', lambda: True, clock.Clock())
    tested.start()
    connection = socket.create_connection(
        ('127.0.0.1', sockets.port_of(listener)), fixtures.TIMEOUT_S
    )
    started = clock.Clock().now()
    sending = gevent.spawn(_send_slowly, connection)
    with contextlib.suppress(ConnectionResetError):
        CASE.assertEqual(connection.recv(1), b'')
    took = clock.Clock().now() - started
    CASE.assertGreaterEqual(took, _TIMEOUT_MS)
    CASE.assertLess(took, _TIMEOUT_MS + _MAX_LATE_MS)
    sending.kill()
    connection.close()
    tested.stop()
