"""Tests of the port for readiness checks."""

from __future__ import annotations

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
_MAX_LATE_MS: typing.Final = 500.0

#: Less than the timeout of a request.
_CLOSED_AFTER_S: typing.Final = 5.0


@mock.patch.object(ready, 'REQUEST_TIMEOUT_MS', _TIMEOUT_MS)
def test_slow_request_is_closed_after_the_timeout() -> None:
    """A byte now and then must not keep a connection open."""
    listener = sockets.listen('127.0.0.1:0')
    tested = ready.ReadyServer(listener, '/readyz', lambda: True, clock.Clock())
    tested.start()
    ended = fixtures.send_slow_request(sockets.port_of(listener), b'GET /')
    tested.stop()
    CASE.assertGreaterEqual(ended.took_ms, _TIMEOUT_MS)
    CASE.assertLess(ended.took_ms, _TIMEOUT_MS + _MAX_LATE_MS)


def test_unfinished_requests_leave_room_for_a_readiness_check() -> None:
    """They took all descriptors of the entry (issue 45)."""
    listener = sockets.listen('127.0.0.1:0')
    tested = ready.ReadyServer(listener, '/readyz', lambda: True, clock.Clock())
    tested.start()
    port = sockets.port_of(listener)
    crowd = []
    for _ in range(2 * ready.MAX_CONNECTIONS):
        connection = socket.create_connection(('127.0.0.1', port))
        connection.settimeout(fixtures.TIMEOUT_S)
        connection.sendall(b'GET /')
        crowd.append(connection)
        gevent.sleep(0)
    CASE.assertEqual(
        fixtures.send(port, fixtures.request_bytes('/readyz')).status, 200
    )
    for closed in crowd[: ready.MAX_CONNECTIONS]:
        closed.settimeout(_CLOSED_AFTER_S)
        CASE.assertEqual(closed.recv(1), b'')
    for connection in crowd:
        connection.close()
    tested.stop()
