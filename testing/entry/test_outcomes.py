"""Outcomes of requests whose target fails, for each kind of service class."""

from __future__ import annotations

import functools
import itertools
import typing
import unittest

import gevent
from gevent import socket

from mulberryquay.coordination import crash_guard, errors
from mulberryquay.entry import daemon
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_COMPLETE_ANSWER: typing.Final = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
)


class Failure(typing.NamedTuple):
    """A way in which a target fails, and the expected outcomes."""

    name: str
    raw: bytes
    #: Expected if the class is idempotent and another target is healthy.
    idempotent: str
    #: Expected for a class that must run at most once.
    at_most_once: str
    resets: bool = False


_LOST: typing.Final = 'unknown/connection-lost'
_MALFORMED: typing.Final = 'unknown/malformed-answer'
_OK: typing.Final = 'answered/none'

#: Status lines of no answer, some of which the parser lets through.
_ODD_STATUS_LINES: typing.Final = (
    b'HTTP/1.1 000 OK',
    b'HTTP/1.1 001 OK',
    b'HTTP/1.1 099 OK',
    b'HTTP/1.1 600 OK',
    b'HTTP/1.1 999 OK',
    b'HTTP/1.0 000 OK',
    b'HTTP/1.1 20 OK',
    b'HTTP/1.1 2000 OK',
    b'HTTP/1.1 0200 OK',
    b'HTTP/1.1 +20 OK',
    b'HTTP/1.1 -200 OK',
    b'HTTP/1.1 2x0 OK',
    b'HTTP/1.1 200OK',
    b'HTTP/1.1 OK',
    b'HTTP/1.1 ',
    b'HTTP/1.1',
    b'HTTP/1.1  200 OK',
    b'HTTP/1.1\t200 OK',
    b'HTTP/1.1 200\tOK',
    b' HTTP/1.1 200 OK',
    b'http/1.1 200 OK',
    b'HTTP 200 OK',
    b'HTTP/ 200 OK',
    b'HTTP/0.9 200 OK',
    b'HTTP/1.2 200 OK',
    b'HTTP/2 200 OK',
    b'HTTP/2.0 200 OK',
    b'HTTP/3.0 200 OK',
    b'RTSP/1.0 200 OK',
    b'ICE/1.0 200 OK',
    b'200 OK',
    b'PRI * HTTP/2.0',
)
_INTERIM: typing.Final = b'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'
_ODD_ENDING: typing.Final = b'\r\nContent-Length: 2\r\n\r\nok'

#: Each odd line, alone and after an interim answer, and odd interim answers.
ODD_STATUSES: typing.Final = tuple(
    Failure(f'sends {raw!r}', raw, _OK, _MALFORMED)
    for raw in (
        *(line + _ODD_ENDING for line in _ODD_STATUS_LINES),
        *(_INTERIM + line + _ODD_ENDING for line in _ODD_STATUS_LINES),
        b'HTTP/1.1 000 Odd\r\n\r\n' + _COMPLETE_ANSWER,
        b'HTTP/1.1 099 Odd\r\n\r\n' + _COMPLETE_ANSWER,
        b'HTTP/2.0 103 Odd\r\n\r\n' + _COMPLETE_ANSWER,
        b'RTSP/1.0 103 Odd\r\n\r\n' + _COMPLETE_ANSWER,
        b'HTTP/1.1 103 Odd' + _ODD_ENDING,
        b'HTTP/1.1 103 Odd\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2\r\nok\r\n0\r\n\r\n' + _COMPLETE_ANSWER,
        b'HTTP/1.1 000 Odd\r\n\r\n',
        b'HTTP/1.1 600 Odd\r\n\r\nok',
        b'HTTP/1.1 999 Odd\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2\r\nok\r\n0\r\n\r\n',
    )
)

#: What a wrong answer raises here; a table test lists all of them.
_WRONG: typing.Final = (OSError, errors.MulberryquayError, AssertionError)

FAILURES: typing.Final = (
    Failure('closes without an answer', b'', _OK, _LOST),
    Failure('resets without an answer', b'', _OK, _LOST, resets=True),
    Failure(
        'resets in the head',
        b'HTTP/1.1 200 OK\r\nCont',
        _OK,
        _LOST,
        resets=True,
    ),
    Failure(
        'resets in a small body',
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
        _OK,
        _LOST,
        resets=True,
    ),
    Failure('closes in the head', b'HTTP/1.1 200 OK\r\nCont', _OK, _LOST),
    Failure(
        'closes in a small body',
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
        _OK,
        _LOST,
    ),
    Failure('sends no HTTP', b'what is this\r\n\r\n', _OK, _MALFORMED),
    Failure(
        'sends two lengths',
        b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
        _OK,
        _MALFORMED,
    ),
    Failure(
        'sends a length and chunks',
        b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n',
        _OK,
        _MALFORMED,
    ),
    Failure(
        'switches protocols unasked',
        b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
        _OK,
        _MALFORMED,
    ),
    Failure(
        'says that it did not run the request',
        b'HTTP/1.1 503 Busy\r\nMulberryquay-Not-Run: 1\r\n'
        b'Content-Length: 0\r\n\r\n',
        _OK,
        _OK,
    ),
    Failure(
        'is unavailable, which proves nothing',
        b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n',
        _OK,
        'answered/none 503',
    ),
    Failure(
        'answers twice',
        _COMPLETE_ANSWER + _COMPLETE_ANSWER,
        _OK,
        _OK,
    ),
)


def _raw_handler(raw: bytes, *, resets: bool = False) -> target.Handler:
    return lambda _request: target.Answer(raw=raw, resets=resets)


def _declare(control: fixtures.Control) -> None:
    control.declare('read', service_class={'idempotent': True})
    control.declare('order', service_class={'idempotent': False})


def test_every_failure_has_its_true_outcome() -> None:
    """Guards against a wrong outcome or a wrong retry after each failure."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control)
        for failure in FAILURES:
            for service in ('read', 'order'):
                _check_failure(control, entry, service, failure)


def test_answer_without_a_valid_status_is_a_failure() -> None:
    """A caller got a status of 000 as an answer, or a reset (issue 45)."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control)
        wrong = []
        for failure in ODD_STATUSES:
            for service in ('read', 'order'):
                try:
                    _check_failure(control, entry, service, failure)
                except _WRONG as error:
                    wrong.append(f'{service}: {failure.name}: {error!r}')
        CASE.assertEqual(wrong, [])


def _check_failure(
    control: fixtures.Control,
    entry: typing.Any,
    service: str,
    failure: Failure,
) -> None:
    for _new_call in range(20):
        entry.state.retry_budget_for(service).deposit()
    bad_handler = _raw_handler(failure.raw, resets=failure.resets)
    with (
        # The failing target is nearer, so it is tried first.
        fixtures.announced_target(
            control,
            'bad',
            bad_handler,
            service=service,
            domain='north-1',
        ) as bad,
        fixtures.announced_target(
            control,
            'good',
            service=service,
            domain='north-2',
        ) as good,
    ):
        fixtures.wait_for_targets(entry, 'bad', 'good')
        response = fixtures.ask(
            entry, f'/{service}/x', method='POST', body=b'b'
        )
        runs = sum(bad.runs.values()) + sum(good.runs.values())
    is_idempotent = service == 'read'
    expected = failure.idempotent if is_idempotent else failure.at_most_once
    got = response.outcome
    if ' ' in expected:
        got = f'{got} {response.status}'
    CASE.assertEqual(got, expected, f'{service}: target {failure.name}')
    is_shed = b'Not-Run' in failure.raw
    if not is_idempotent and not is_shed:
        CASE.assertEqual(runs, 1, f'target {failure.name}')


def test_refused_connection_is_not_run_and_tried_elsewhere() -> None:
    """A request that was never sent must be retried, idempotent or not."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control)
        with fixtures.announced_target(
            control, 'gone', service='order'
        ) as gone:
            fixtures.wait_for_targets(entry, 'gone')
            gone.stop()
            alone = fixtures.ask(entry, '/order/1', method='POST', body=b'b')
            CASE.assertEqual(alone.outcome, 'not-run/connect-failed')
            with fixtures.announced_target(
                control,
                'good',
                service='order',
                domain='north-2',
            ):
                fixtures.wait_for_targets(entry, 'good')
                both = fixtures.ask(entry, '/order/2', method='POST', body=b'b')
                CASE.assertEqual(both.outcome, 'answered/none')


def test_stalled_target_ends_as_unknown_at_the_deadline() -> None:
    """A late answer must not be taken for that of the next request."""

    def stall(request: target.ReceivedRequest) -> target.Answer:
        if request.head.path.endswith(b'slow'):
            gevent.sleep(0.3)
        return target.Answer(body=request.head.path)

    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control)
        with fixtures.announced_target(control, 'slow', stall, service='order'):
            fixtures.wait_for_targets(entry, 'slow')
            late = fixtures.ask(
                entry,
                '/order/slow',
                headers={'Mulberryquay-Timeout-Ms': '50'},
            )
            CASE.assertEqual(late.status, 504)
            CASE.assertEqual(late.outcome, 'unknown/deadline')
            for number in range(20):
                path = f'/order/{number}'
                answer = fixtures.ask(entry, path)
                CASE.assertEqual(answer.body.decode(), path)


def test_answers_out_of_order_reach_their_own_callers() -> None:
    """Slow and fast requests that share connections must not be mixed up."""

    def echo(request: target.ReceivedRequest) -> target.Answer:
        number = int(request.head.path.rpartition(b'/')[2])
        gevent.sleep(0.002 * (number * 7 % 11))
        return target.Answer(body=request.head.path + request.body)

    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control)
        with fixtures.announced_target(control, 'echo', echo, service='read'):
            fixtures.wait_for_targets(entry, 'echo')

            def ask(number: int) -> None:
                body = b'x' * (number * 997)
                path = f'/read/{number}'
                answer = fixtures.ask(entry, path, method='POST', body=body)
                CASE.assertEqual(answer.body, path.encode() + body)

            tasks = [gevent.spawn(ask, number) for number in range(120)]
            gevent.joinall(tasks, raise_error=True)


def test_long_answer_cut_short_resets_the_caller() -> None:
    """A truncated answer must not look complete, whatever its framing."""
    beginnings = (
        b'Content-Length: 200000\r\n\r\n' + b'x' * 100_000,
        b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n',
    )
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control)
        for beginning in beginnings:
            raw = b'HTTP/1.1 200 OK\r\n' + beginning
            with fixtures.announced_target(
                control,
                'cut',
                _raw_handler(raw),
                service='read',
            ):
                fixtures.wait_for_targets(entry, 'cut')
                with CASE.assertRaises((OSError, errors.MulberryquayError)):
                    fixtures.ask(entry, '/read/x')
        CASE.assertEqual(
            entry.state.metrics.read(
                'mulberryquay_requests_total',
                'unknown',
                'answer-cut-short',
            ),
            2,
        )


def test_large_bodies_pass_both_ways_while_streaming() -> None:
    """An echo of 8 MiB must not block.

    It blocks unless both directions are served at once.
    """
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control)
        with fixtures.announced_target(
            control,
            'echo',
            lambda request: target.Answer(body=request.body),
            service='read',
        ):
            fixtures.wait_for_targets(entry, 'echo')
            body = bytes(range(256)) * 4096 * 8
            answer = fixtures.ask(entry, '/read/x', method='POST', body=body)
            CASE.assertEqual(answer.outcome, 'answered/none')
            CASE.assertEqual(answer.body, body)


def test_chunked_request_reaches_the_target_whole() -> None:
    """Guards against lost chunks and against reordered pipelined requests."""
    raw = (
        b'POST /read/1 HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n'
        b'\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n'
        b'GET /read/2 HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n'
    )
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control)
        with fixtures.announced_target(
            control,
            'echo',
            lambda request: target.Answer(body=request.body or b'none'),
            service='read',
        ):
            fixtures.wait_for_targets(entry, 'echo')
            connection = socket.create_connection(('127.0.0.1', entry.port))
            connection.sendall(raw)
            received = b''
            while chunk := connection.recv(65536):
                received += chunk
        CASE.assertLess(
            received.find(b'hello world'), received.find(b'\r\n\r\nnone')
        )
        CASE.assertEqual(received.count(b'200 OK'), 2)


def test_request_that_breaks_targets_is_stopped_after_three() -> None:
    """A request resent through two entries must not break every target."""
    with (
        fixtures.control() as control,
        fixtures.entry(control, 'entry-1') as first,
        fixtures.entry(control, 'entry-2') as second,
    ):
        _declare(control)
        names = [f't{number}' for number in range(5)]
        with _order_targets(control, names, _raw_handler(b'')) as order_targets:
            for entry in (first, second):
                fixtures.wait_for_targets(entry, *names)
            control_guard = control.daemon.guard
            for entry in itertools.cycle((first, second)):
                reported_before = control_guard.recorded_count
                _send_crashing_request(entry)
                fixtures.wait_until(
                    functools.partial(
                        _has_new_report, control_guard, reported_before
                    ),
                )
                if control_guard.blocked_count:
                    break
            guards = [each.state.crashes.guard for each in (first, second)]
            fixtures.wait_until(
                lambda: all(guard.blocked_count for guard in guards),
            )
            for entry in (first, second):
                refused = _send_crashing_request(entry)
                CASE.assertEqual(refused.outcome, 'not-run/breaks-targets')
            # Both entries may send the request to the same target, so targets
            # are counted rather than attempts.
            crashed_targets = [
                each
                for each in order_targets
                if each.runs['POST /order/poison']
            ]
            CASE.assertEqual(len(crashed_targets), 3)
            other = fixtures.ask(first, '/order/ok', method='POST', body=b'b')
            CASE.assertEqual(other.outcome, _LOST)


def _lose_bad_account(request: target.ReceivedRequest) -> target.Answer:
    """Loses the answers to one account."""
    if request.head.find(b'mulberryquay-account') == b'bad':
        return target.Answer(raw=b'')
    return target.Answer()


def test_answers_to_one_account_do_not_clear_crashes_of_another() -> None:
    """A request was never stopped while others had its path (review/9)."""
    names = [f't{number}' for number in range(6)]
    with (
        fixtures.control() as control,
        fixtures.entry(control) as entry,
        _order_targets(control, names, _lose_bad_account),
    ):
        _declare(control)
        for account in ('bad', 'good'):
            control.put('client-accounts', account)
        control.wait_in_force()
        fixtures.wait_for_targets(entry, *names)
        outcomes_of_bad = []
        for _ in range(len(names) * 4):
            outcomes_of_bad.append(_order_as(entry, 'bad'))
            CASE.assertEqual(_order_as(entry, 'good'), 'answered/none')
        CASE.assertEqual(outcomes_of_bad[0], _LOST)
        CASE.assertEqual(outcomes_of_bad[-1], 'not-run/breaks-targets')


def _order_as(entry: daemon.EntryDaemon, account: str) -> str:
    return fixtures.ask(
        entry,
        '/order/popular',
        method='POST',
        body=b'b',
        headers={'Mulberryquay-Account': account},
    ).outcome


def test_entry_that_starts_refuses_what_is_blocked() -> None:
    """After a rolling restart, it crashed targets again (review/10)."""
    names = [f't{number}' for number in range(6)]
    with (
        fixtures.control() as control,
        _order_targets(control, names, _raw_handler(b'')) as order_targets,
    ):
        _declare(control)
        with fixtures.entry(control, 'entry-1') as first:
            fixtures.wait_for_targets(first, *names)
            fixtures.wait_until(
                lambda: _send_crashing_request(first).outcome != _LOST
            )
        crashed = sum(each.runs['POST /order/poison'] for each in order_targets)
        with fixtures.entry(control, 'entry-2') as second:
            fixtures.wait_for_targets(second, *names)
            refused = _send_crashing_request(second)
        CASE.assertEqual(refused.outcome, 'not-run/breaks-targets')
        CASE.assertEqual(
            crashed,
            sum(each.runs['POST /order/poison'] for each in order_targets),
        )


def test_requests_that_overloaded_targets_reset_are_not_blocked() -> None:
    """An overloaded target resets connections of requests that are harmless."""
    names = [f't{number}' for number in range(5)]
    with (
        fixtures.control() as control,
        fixtures.entry(control) as entry,
        _order_targets(control, names, _raw_handler(b'')),
    ):
        _declare(control)
        fixtures.wait_for_targets(entry, *names)
        for _ in range(len(names) * 2):
            for number in range(3):
                lost = fixtures.ask(
                    entry, f'/order/{number}', method='POST', body=b'b'
                )
                CASE.assertEqual(lost.outcome, _LOST)
        CASE.assertEqual(entry.state.crashes.guard.blocked_count, 0)
        CASE.assertEqual(control.daemon.guard.blocked_count, 0)


def _has_new_report(guard: crash_guard.CrashGuard, before: int) -> bool:
    return guard.recorded_count > before


def _send_crashing_request(entry: daemon.EntryDaemon) -> fixtures.Response:
    return fixtures.ask(entry, '/order/poison', method='POST', body=b'b')


def _order_targets(
    control: fixtures.Control,
    names: list[str],
    handler: target.Handler,
) -> typing.Any:
    return fixtures.enter_all(
        fixtures.announced_target(control, name, handler, service='order')
        for name in names
    )


def test_record_lists_each_attempt() -> None:
    """A failed first attempt must not be missing from the request record.

    The query, which may hold secrets, must not be in it.
    """
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control)
        with (
            fixtures.announced_target(
                control,
                'bad',
                _raw_handler(b''),
                service='read',
            ),
            fixtures.announced_target(
                control,
                'good',
                service='read',
                domain='north-2',
            ),
        ):
            fixtures.wait_for_targets(entry, 'bad', 'good')
            response = fixtures.ask(entry, '/read/x?secret=1')
        record = fixtures.fetch_request_record(entry, response)
        attempts = [
            (each['target'], each['result']) for each in record['tries']
        ]
        CASE.assertEqual(attempts, [('bad', 'lost'), ('good', 'received')])
        CASE.assertEqual(record['path'], '/read/x')
        CASE.assertEqual(record['outcome'], 'answered')
