"""Tests of an entry that uses the platform's headers."""

from __future__ import annotations

import contextlib
import typing
import unittest

from mulberryquay.entry import daemon as entry_daemon
from mulberryquay.entry import dialect
from mulberryquay.standin import target
from mulberryquay_platform import headers
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_SIGNATURE: typing.Final = (b'x-server-signature', b'seal')

if 'platform' not in fixtures.KERNEL.dialects.names:
    headers.mulberryquay_register(fixtures.KERNEL)


class PlatformSetup(typing.NamedTuple):
    """A control host, and an entry with targets of one service."""

    control: fixtures.Control
    entry: entry_daemon.EntryDaemon


@contextlib.contextmanager
def _platform_setup(
    *handlers: target.Handler,
    idempotent: bool = True,
) -> typing.Iterator[PlatformSetup]:
    with (
        fixtures.control() as control,
        fixtures.entry(control, dialect='platform') as entry,
        fixtures.enter_all(
            fixtures.announced_target(control, f't{number}', handler)
            for number, handler in enumerate(handlers)
        ),
    ):
        control.declare(service_class={'idempotent': idempotent})
        names = [f't{number}' for number in range(len(handlers))]
        fixtures.wait_for_targets(entry, *names)
        control.wait_in_force()
        yield PlatformSetup(control, entry)


def _send_request(
    setup: PlatformSetup, **options: typing.Any
) -> fixtures.Response:
    request_headers = {
        'X-Request-Id': 'request-1',
        'X-Deadline-Milliseconds': '3000',
    }
    return fixtures.ask(
        setup.entry, '/stock/a', headers=request_headers, **options
    )


def _constant_handler(answer: target.Answer) -> target.Handler:
    return lambda _: answer


def _signed_answer(request: target.ReceivedRequest) -> target.Answer:
    request_id = dict(request.head.forwarded_headers)[b'x-request-id']
    return target.Answer(
        body=b'done',
        headers=(_SIGNATURE, (b'x-request-id', request_id)),
    )


def test_load_header_has_three_or_four_fields() -> None:
    """Guards against load reports decoded from malformed headers."""
    parse = headers.parse_load
    CASE.assertEqual(parse(b'3,1,8'), dialect.LoadReport(3, 1, 1))
    CASE.assertEqual(parse(b'3, 1, 8, 400'), dialect.LoadReport(3, 1, 4))
    for text in (b'', b'3', b'a,b,c', b'3,-1,8', b'3,1,8,4x'):
        CASE.assertIsNone(parse(text))


def test_target_gets_id_remaining_time_and_its_own_name() -> None:
    """Guards against wrong headers and a replaced request id."""
    seen: list[target.ReceivedRequest] = []

    def handler(request: target.ReceivedRequest) -> target.Answer:
        seen.append(request)
        return _signed_answer(request)

    with _platform_setup(handler) as setup:
        answer = _send_request(setup)
    CASE.assertEqual(answer.status, 200)
    CASE.assertEqual(answer.headers['x-request-id'], 'request-1')
    CASE.assertEqual(answer.headers['x-server-signature'], 'seal')
    sent = dict(seen[0].head.forwarded_headers)
    CASE.assertEqual(sent[b'x-request-id'], b'request-1')
    CASE.assertEqual(sent[b'x-expected-instance'], b't0')
    CASE.assertLessEqual(int(sent[b'x-deadline-milliseconds']), 3000)


def test_unsigned_success_or_that_of_another_request_is_not_passed_on() -> None:
    """Guards against passing on unsigned answers or those of other requests.

    The request may have run, so the caller gets a 502.
    """
    invalid_answers = (
        target.Answer(body=b'x'),
        target.Answer(
            body=b'x',
            headers=(_SIGNATURE, (b'content-encoding', b'gzip')),
        ),
        target.Answer(
            raw=b'HTTP/1.1 200 OK\r\nx-server-signature: s\r\n'
            b'x-request-id: other\r\ncontent-length: 1\r\n\r\nx',
        ),
    )
    for answer in invalid_answers:
        with _platform_setup(
            _constant_handler(answer), idempotent=False
        ) as setup:
            response = _send_request(setup)
            CASE.assertEqual(response.status, 502)
            CASE.assertNotIn('x-server-signature', response.headers)


def test_late_answer_to_an_earlier_request_is_skipped() -> None:
    """Guards against passing on the answer to an earlier request.

    The right answer follows it on the same connection.
    """
    late = (
        b'HTTP/1.1 200 OK\r\nx-server-signature: s\r\nx-request-id: early\r\n'
        b'content-length: 4\r\n\r\nlate'
    )
    own = (
        b'HTTP/1.1 200 OK\r\nx-server-signature: s\r\n'
        b'x-request-id: request-1\r\ncontent-length: 3\r\n\r\nown'
    )
    with _platform_setup(lambda _: target.Answer(raw=late + own)) as setup:
        CASE.assertEqual(_send_request(setup).body, b'own')


def test_misdirected_request_goes_to_another_target() -> None:
    """Guards against failing a misdirected request, which has not run.

    Another target gets it, also if it must not run twice.
    """
    misdirected = target.Answer(status=421)
    with _platform_setup(
        lambda _: misdirected,
        _signed_answer,
        idempotent=False,
    ) as setup:
        for _ in range(4):
            CASE.assertEqual(_send_request(setup).status, 200)


def test_refusal_of_a_target_that_may_have_run_is_not_passed_on() -> None:
    """Guards against telling the caller that a request has not run.

    Callers infer this from these statuses, but a target that sends one
    without the header ``x-not-executed`` may have run the request.
    """
    for status in (503, 429, 408):
        refusal = target.Answer(status=status, headers=(_SIGNATURE,))
        with _platform_setup(
            _constant_handler(refusal), idempotent=False
        ) as setup:
            CASE.assertEqual(_send_request(setup).status, 502)


def test_refusal_before_running_is_passed_on() -> None:
    """Guards against a 502 for a request that a target refused to run."""
    refusal = target.Answer(status=503, headers=((b'x-not-executed', b'1'),))
    with _platform_setup(lambda _: refusal, idempotent=False) as setup:
        answer = _send_request(setup)
        CASE.assertEqual(answer.status, 503)
        CASE.assertIn('retry-after', answer.headers)
