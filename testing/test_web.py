"""Tests of the HTTP server of the resource and admin APIs."""

from __future__ import annotations

import contextlib
import json
import typing
import unittest
from http import client
from unittest import mock

import gevent

from gevent import event, socket

from mulberryquay import api_load, metrics, sockets, web, web_input
from mulberryquay.coordination import clock
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_TIMEOUT_MS: typing.Final = 300.0
_MAX_LATE_MS: typing.Final = 500.0

_SLOW_REQUESTS: typing.Final = (
    b'GET /',
    b'GET /healthz HTTP/1.1\r\nx: ',
    b'PUT /v1/services/a HTTP/1.1\r\ncontent-length: 1000\r\n\r\n{',
    b'PUT /v1/services/a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5;',
)


@mock.patch.object(web_input, 'REQUEST_TIMEOUT_MS', _TIMEOUT_MS)
def test_slow_request_to_the_api_is_closed_after_the_timeout() -> None:
    """A byte now and then must not keep a request open."""
    with fixtures.control() as control:
        for beginning in _SLOW_REQUESTS:
            with CASE.subTest(beginning):
                ended = fixtures.send_slow_request(
                    control.daemon.api_port, beginning
                )
                CASE.assertGreaterEqual(ended.took_ms, _TIMEOUT_MS)
                CASE.assertLess(ended.took_ms, _TIMEOUT_MS + _MAX_LATE_MS)
                if beginning.startswith(b'PUT'):
                    CASE.assertIn(b'request-timeout', ended.answer)


def test_idle_connection_to_the_api_stays_open() -> None:
    """The timeout must not begin before the first byte of a request."""
    with (
        mock.patch.object(web_input, 'REQUEST_TIMEOUT_MS', _TIMEOUT_MS),
        fixtures.control() as control,
    ):
        connection = client.HTTPConnection(control.api)
        for _ in range(2):
            connection.request('GET', '/healthz')
            CASE.assertEqual(
                json.loads(connection.getresponse().read()), {'status': 'ok'}
            )
            kept = connection.sock
            gevent.sleep(2 * _TIMEOUT_MS / clock.MS_PER_SECOND)
        CASE.assertIs(connection.sock, kept)
        connection.close()


@contextlib.contextmanager
def _one_connection_server() -> typing.Iterator[tuple[int, event.Event]]:
    """Yields the port of a server that keeps one connection.

    ``GET /stream`` answers with a stream that ends when the event is set, and
    ``PUT /body`` with the size of the body.
    """
    ends = event.Event()
    app = web.new_app()

    def stream() -> typing.Iterator[str]:
        web.begin_stream()
        ends.wait()
        yield 'end'

    def body() -> str:
        return str(len(web.read_body(100)))

    app.route('/stream', 'GET', stream)
    app.route('/body', 'PUT', body)
    listener = sockets.listen('127.0.0.1:0')
    load = api_load.ApiLoad(
        {'memory_mb': 0, 'api_connections': 1},
        metrics.Metrics(api_load.METRICS),
    )
    server = web.start_server(listener, app, load)
    try:
        yield sockets.port_of(listener), ends
    finally:
        ends.set()
        server.stop()


def _connect(port: int) -> socket.socket:
    return socket.create_connection(('127.0.0.1', port), fixtures.TIMEOUT_S)


def _asks(port: int) -> None:
    """Checks that a new connection is served."""
    answer = fixtures.send(
        port, fixtures.request_bytes('/body', method='PUT', body=b'abc')
    )
    CASE.assertEqual((answer.status, answer.body), (200, b'3'))


def test_stream_without_bytes_so_far_is_closed_for_a_new_connection() -> None:
    """A status of the 500s would say that something is broken."""
    with _one_connection_server() as (port, _ends), _connect(port) as old:
        old.sendall(fixtures.request_bytes('/stream'))
        gevent.sleep(0.1)
        _asks(port)
        CASE.assertEqual(old.recv(1000), b'')


def test_request_after_a_stream_gives_way_with_a_refusal() -> None:
    """Only the stream itself is closed without an answer."""
    with _one_connection_server() as (port, ends), _connect(port) as old:
        ends.set()
        old.sendall(fixtures.request_bytes('/stream'))
        received = b''
        while not received.endswith(b'0\r\n\r\n'):
            received += old.recv(1000)
        old.sendall(
            fixtures.request_bytes('/body', method='PUT', body=b'ab')[:-1]
        )
        gevent.sleep(0.1)
        _asks(port)
        refusal = old.recv(1000)
        CASE.assertTrue(refusal.startswith(b'HTTP/1.1 503 '), refusal)
        CASE.assertIn(b'api-busy', refusal)
