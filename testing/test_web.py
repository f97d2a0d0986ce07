"""Tests of the HTTP server of the resource and admin APIs."""

from __future__ import annotations

import json
import typing
import unittest
from http import client
from unittest import mock

import gevent

from mulberryquay import web
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


@mock.patch.object(web, 'REQUEST_TIMEOUT_MS', _TIMEOUT_MS)
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
        mock.patch.object(web, 'REQUEST_TIMEOUT_MS', _TIMEOUT_MS),
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
