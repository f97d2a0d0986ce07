"""Tests of opening connections to targets."""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent
from gevent import socket

from mulberryquay import announcer
from mulberryquay.coordination import clock
from mulberryquay.entry import connections
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_TIMEOUT_MS: typing.Final = 300
_MAX_LATE_MS: typing.Final = 200

#: Connections that fill the accept queue of a port that accepts none.
_FILLING: typing.Final = 4


@contextlib.contextmanager
def _port_that_accepts_nothing() -> typing.Iterator[str]:
    """Yields an address whose new connections hang."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        address = listener.getsockname()
        for _ in range(_FILLING):
            filling = stack.enter_context(socket.socket())
            filling.setblocking(False)
            filling.connect_ex(address)
        gevent.sleep(0.05)
        yield f'127.0.0.1:{address[1]}'


def test_deadline_binds_the_opening_of_a_connection() -> None:
    """A request must not wait for a connection beyond its time.

    Several requests at once also wait for each other's attempts to connect.
    """
    with (
        fixtures.control() as control,
        fixtures.entry(control) as entry,
        _port_that_accepts_nothing() as address,
    ):
        control.declare(
            route={'timeout_ms': _TIMEOUT_MS, 'max_attempts': 1},
            service_class={'idempotent': True},
        )
        announced = announcer.Announcer(
            fixtures.announcement('silent', address),
            [control.api],
        )
        announced.announce()
        fixtures.wait_for_targets(entry, 'silent')
        control.wait_in_force()
        started = clock.Clock().now()
        calls = [
            gevent.spawn(fixtures.ask, entry, '/stock/x') for _ in range(3)
        ]
        for call in calls:
            answer = call.get()
            CASE.assertEqual(answer.status, 504)
            CASE.assertEqual(answer.outcome, 'not-run/deadline')
        took = clock.Clock().now() - started
        CASE.assertLess(took, _TIMEOUT_MS + _MAX_LATE_MS)


def test_address_that_no_socket_takes_is_a_failed_connection() -> None:
    """Guards against an untyped error that ends the request or the prober."""
    for address in (
        ('127.0.0.1', 65536),
        ('127.0.0.1', -1),
        ('x' * 70, 80),
        ('a..b', 80),
        ('\ud800', 80),
        ('127.0.0.1\0', 80),
    ):
        pool = connections.ConnectionPool(address, clock.Clock())
        with CASE.assertRaises(connections.ConnectFailedError):
            pool.take(limit=1, timeout=_TIMEOUT_MS)
        CASE.assertEqual(pool.open_count, 0)
