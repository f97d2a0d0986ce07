"""Tests of how an entry admits, routes and refuses requests."""

from __future__ import annotations

import contextlib
import typing
import unittest
from unittest import mock

import gevent
from gevent import socket

from mulberryquay.entry import admission, http_heads
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_GET: typing.Final = b'GET /stock/x HTTP/1.1\r\nHost: t\r\n'
_POST: typing.Final = b'POST /stock/x HTTP/1.1\r\nHost: t\r\n'

#: Requests that two parsers may read differently, that exceed a limit, or
#: that are not supported or allowed; each with the status of its refusal.
REFUSED: typing.Final = (
    (
        _POST + b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
        400,
    ),
    (_POST + b'Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef', 400),
    (_POST + b'Content-Length: 5\r\nContent-Length: 5\r\n\r\nabcde', 400),
    (_POST + b'Content-Length: +5\r\n\r\nabcde', 400),
    (_POST + b'Content-Length: -1\r\n\r\n', 400),
    (_POST + b'Content-Length: 5, 5\r\n\r\nabcde', 400),
    (_POST + b'Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n', 400),
    (_POST + b'Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n', 400),
    (_POST + b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n', 501),
    (_POST + b'Transfer-Encoding: identity\r\n\r\n', 501),
    (
        _POST + b'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n'
        b'\r\n0\r\n\r\n',
        400,
    ),
    (_GET + b'Bad Header: x\r\n\r\n', 400),
    (_GET + b'X: a\r\n b\r\n\r\n', 400),
    (b'GET /stock/x\r\n\r\n', 400),
    (b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03' + b'\x00' * 50, 400),
    (_GET + b'X: ' + b'a' * 40_000 + b'\r\n\r\n', 431),
    (_GET + b'X: ' + b'a' * 200_000, 431),
    (_GET + b'Connection: upgrade\r\nUpgrade: websocket\r\n\r\n', 501),
    (b'CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n', 501),
    (_POST + b'Content-Length: 999999999999\r\n\r\n', 413),
    (_GET + b'Mulberryquay-Depth: 30\r\n\r\n', 508),
    (_GET + b'Mulberryquay-Depth: x\r\n\r\n', 400),
    (_GET + b'Mulberryquay-Account: nobody\r\n\r\n', 403),
)


def test_ambiguous_and_oversized_requests_are_refused_as_not_run() -> None:
    """Forwarding an ambiguous request would allow request smuggling."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare()
        with fixtures.announced_target(control, 'stock-a') as stock:
            fixtures.wait_for_targets(entry, 'stock-a')
            for raw, status in REFUSED:
                response = fixtures.send(entry.port, raw)
                CASE.assertEqual(response.status, status, raw[:90])
                CASE.assertIn('not-run', response.outcome, raw[:90])
            CASE.assertFalse(stock.runs)
            CASE.assertEqual(fixtures.ask(entry, '/stock/x').status, 200)


def test_routes_match_whole_segments_and_the_longest_prefix() -> None:
    """A route for ``/stock`` must serve ``/stock/x`` but not ``/stocks``."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare('stock')
        control.declare('rolls', route={'path_prefix': '/stock/rolls'})
        control.wait_in_force()
        find = entry.state.routing_table.find_route
        CASE.assertEqual(find(b'/stock').name, 'stock')
        CASE.assertEqual(find(b'/stock/x/y?z=/stock/rolls').name, 'stock')
        CASE.assertEqual(find(b'/stock/rolls/7').name, 'rolls')
        for path in ('/stocks', '/', '*'):
            CASE.assertEqual(
                fixtures.ask(entry, path).outcome,
                'not-run/no-route',
            )


def test_forged_headers_are_ignored() -> None:
    """Callers and targets must not forge request ids or outcomes."""
    received_headers = {}

    def handle(request: target.ReceivedRequest) -> target.Answer:
        received_headers.update(
            dict(
                [
                    *request.head.forwarded_headers,
                    *request.head.known_headers,
                ]
            )
        )
        forged = [(b'mulberryquay-outcome', b'not-run')]
        return target.Answer(headers=forged)

    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare()
        with fixtures.announced_target(control, 'stock-a', handle):
            fixtures.wait_for_targets(entry, 'stock-a')
            response = fixtures.ask(
                entry,
                '/stock/x',
                headers={
                    'Mulberryquay-Request-Id': 'forged',
                    'Connection': 'keep-alive, X-Secret',
                    'X-Secret': 'hop',
                    'X-Kept': 'yes',
                },
            )
    CASE.assertEqual(response.outcome, 'answered/none')
    CASE.assertNotEqual(received_headers[b'mulberryquay-request-id'], b'forged')
    CASE.assertNotIn(b'x-secret', received_headers)
    CASE.assertEqual(received_headers[b'x-kept'], b'yes')
    CASE.assertEqual(received_headers[b'mulberryquay-depth'], b'1')


def test_home_regions_hold_for_retries_and_spillover() -> None:
    """A target outside the home regions must get no call.

    Retries and spillover to other regions must not bypass the rule.
    """
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare(
            'order',
            service_class={'idempotent': True},
            route={'home_regions': ['north', 'south']},
        )
        control.put('client-accounts', 'parish', home_regions=['north'])
        close_unanswered = lambda _request: target.Answer(raw=b'')  # noqa: E731
        with (
            fixtures.announced_target(
                control, 'n', close_unanswered, service='order'
            ),
            fixtures.announced_target(
                control,
                's',
                service='order',
                region='south',
                domain='south-1',
            ) as south,
            fixtures.announced_target(
                control,
                'c',
                service='order',
                region='central',
                domain='central-1',
            ) as central,
        ):
            fixtures.wait_for_targets(entry, 'n', 's', 'c')
            control.wait_in_force()
            by_route = fixtures.ask(entry, '/order/1')
            CASE.assertEqual(by_route.outcome, 'answered/none')
            CASE.assertEqual(sum(south.runs.values()), 1)
            by_account = fixtures.ask(
                entry,
                '/order/2',
                headers={'Mulberryquay-Account': 'parish'},
            )
            CASE.assertEqual(by_account.outcome, 'unknown/connection-lost')
            CASE.assertEqual(sum(south.runs.values()), 1)
            CASE.assertFalse(central.runs)


def test_account_limit_is_divided_among_entries() -> None:
    """An entry must not allow the whole limit of an account.

    Each of two entries allows half of it.
    """
    with (
        fixtures.control() as control,
        fixtures.entry(control, 'e1') as first,
        fixtures.entry(control, 'e2') as second,
    ):
        control.declare()
        control.put('client-accounts', 'noisy', max_in_flight=4)

        def answer_slowly(_request: target.ReceivedRequest) -> target.Answer:
            gevent.sleep(0.2)
            return target.Answer()

        with fixtures.announced_target(control, 'a', answer_slowly, slots=64):
            for entry in (first, second):
                fixtures.wait_for_targets(entry, 'a')
            control.wait_in_force()
            fixtures.wait_until(
                lambda: first.state.share_view.member_count == 2
            )
            headers = {'Mulberryquay-Account': 'noisy'}
            tasks = [
                gevent.spawn(fixtures.ask, first, '/stock/x', headers=headers)
                for _number in range(6)
            ]
            gevent.joinall(tasks, raise_error=True)
    outcomes = [task.value.outcome for task in tasks]
    CASE.assertEqual(outcomes.count('answered/none'), 2)
    CASE.assertEqual(outcomes.count('not-run/account-limit'), 4)


def test_account_limit_refusal_has_a_retry_after_header() -> None:
    """A refusal at an account's limit must say when to retry."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare()
        control.put('client-accounts', 'noisy', max_in_flight=0)
        control.wait_in_force()
        response = fixtures.ask(
            entry,
            '/stock/x',
            headers={'Mulberryquay-Account': 'noisy'},
        )
        CASE.assertEqual(response.status, 429)
        CASE.assertEqual(response.outcome, 'not-run/account-limit')
        CASE.assertIn('retry-after', response.headers)


def test_stale_configuration_is_refused_or_served_as_set() -> None:
    """An entry cut off from control hosts must not serve unless set to."""
    with fixtures.control() as control:
        with (
            fixtures.entry(control) as refusing,
            fixtures.entry(control, 'e2', stale_config='serve') as serving,
        ):
            control.declare()
            with fixtures.announced_target(control, 'stock-a'):
                for entry in (refusing, serving):
                    fixtures.wait_for_targets(entry, 'stock-a')
                control.wait_in_force()
                control.daemon.disconnect_entries()
                fixtures.wait_until(lambda: not refusing.state.is_fresh)
                fixtures.wait_until(lambda: not serving.state.is_fresh)
                CASE.assertEqual(
                    fixtures.ask(refusing, '/stock/x').outcome,
                    'not-run/stale-configuration',
                )
                CASE.assertEqual(
                    fixtures.ask(serving, '/stock/x').outcome,
                    'answered/none',
                )


_LIMITS: typing.Final = {
    'max_head_bytes': 400,
    'max_body_bytes': 10,
    'head_timeout_ms': 300,
    'idle_timeout_ms': 30_000,
}


def test_declared_caller_limits_are_enforced() -> None:
    """The body limit, head limit and head timeout must not be ignored."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare()
        control.put('limits', 'callers', **_LIMITS)
        control.wait_in_force()
        with fixtures.announced_target(control, 'stock-a'):
            fixtures.wait_for_targets(entry, 'stock-a')
            large = fixtures.ask(
                entry, '/stock/x', body=b'b' * 11, method='PUT'
            )
            CASE.assertEqual(large.status, 413)
            head = fixtures.ask(entry, f'/stock/{"x" * 500}')
            CASE.assertEqual(head.status, 431)
            fits = fixtures.ask(entry, '/stock/x', body=b'b' * 10, method='PUT')
            CASE.assertEqual(fits.status, 200)
        with contextlib.closing(
            socket.create_connection(('127.0.0.1', entry.port)),
        ) as caller:
            caller.sendall(b'GET /stock/x HTTP/1.1\r\nhost: a')
            answer = caller.recv(65536)
            CASE.assertIn(b' 408 ', answer.partition(b'\r\n')[0])
            CASE.assertEqual(caller.recv(65536), b'')


def test_header_of_thousands_of_digits_is_a_malformed_request() -> None:
    """A number too long to convert must be refused, not end the connection."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare()
        control.wait_in_force()
        refused = fixtures.ask(
            entry,
            '/stock/x',
            headers={'Mulberryquay-Timeout-Ms': '9' * 6000},
        )
        CASE.assertEqual(refused.outcome, 'not-run/malformed-request')


def test_unexpected_error_is_recorded_as_such() -> None:
    """A fault of the entry must not be recorded as a caller that left."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare()
        control.wait_in_force()
        with (
            mock.patch.object(
                admission, 'admit', side_effect=RuntimeError('a fault')
            ),
            CASE.assertLogs('mulberryquay.entry.exchange', 'ERROR'),
            CASE.assertRaises((OSError, http_heads.CutShortError)),
        ):
            fixtures.ask(entry, '/stock/x')
        counted = entry.state.metrics.read(
            'mulberryquay_requests_total', 'unknown', 'internal-error'
        )
        CASE.assertEqual(counted, 1)
