"""Tests of an entry that speaks the platform's headers."""

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

_SEAL: typing.Final = (b'x-server-signature', b'seal')

if 'platform' not in fixtures.KERNEL.dialects.names:
    headers.mulberryquay_register(fixtures.KERNEL)


class Platform(typing.NamedTuple):
    """A control host and an entry with two targets of one service."""

    control: fixtures.Control
    entry: entry_daemon.EntryDaemon


@contextlib.contextmanager
def _platform(
    *handlers: target.Handler,
    idempotent: bool = True,
) -> typing.Iterator[Platform]:
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
        yield Platform(control, entry)


def _ask(platform: Platform, **options: typing.Any) -> fixtures.Response:
    named = {'X-Request-Id': 'request-1', 'X-Deadline-Milliseconds': '3000'}
    return fixtures.ask(platform.entry, '/stock/a', headers=named, **options)


def _always(answer: target.Answer) -> target.Handler:
    return lambda _: answer


def _sealed(request: target.ReceivedRequest) -> target.Answer:
    named = dict(request.head.forwarded_headers)[b'x-request-id']
    return target.Answer(
        body=b'done',
        headers=(_SEAL, (b'x-request-id', named)),
    )


def test_load_header_has_three_or_four_figures() -> None:
    """Anything else is no report."""
    parse = headers.parse_load
    CASE.assertEqual(parse(b'3,1,8'), dialect.LoadReport(3, 1, 1))
    CASE.assertEqual(parse(b'3, 1, 8, 400'), dialect.LoadReport(3, 1, 4))
    for text in (b'', b'3', b'a,b,c', b'3,-1,8', b'3,1,8,4x'):
        CASE.assertIsNone(parse(text))


def test_target_gets_id_remaining_time_and_its_own_name() -> None:
    """The id is the caller's, and the answer repeats it."""
    seen: list[target.ReceivedRequest] = []

    def handler(request: target.ReceivedRequest) -> target.Answer:
        seen.append(request)
        return _sealed(request)

    with _platform(handler) as platform:
        answer = _ask(platform)
    CASE.assertEqual(answer.status, 200)
    CASE.assertEqual(answer.headers['x-request-id'], 'request-1')
    CASE.assertEqual(answer.headers['x-server-signature'], 'seal')
    sent = dict(seen[0].head.forwarded_headers)
    CASE.assertEqual(sent[b'x-request-id'], b'request-1')
    CASE.assertEqual(sent[b'x-expected-instance'], b't0')
    CASE.assertLessEqual(int(sent[b'x-deadline-milliseconds']), 3000)


def test_success_without_seal_or_of_another_request_is_not_passed_on() -> None:
    """It may have run, so the answer promises nothing."""
    breaks = (
        target.Answer(body=b'x'),
        target.Answer(
            body=b'x',
            headers=(_SEAL, (b'content-encoding', b'gzip')),
        ),
        target.Answer(
            raw=b'HTTP/1.1 200 OK\r\nx-server-signature: s\r\n'
            b'x-request-id: other\r\ncontent-length: 1\r\n\r\nx',
        ),
    )
    for answer in breaks:
        with _platform(_always(answer), idempotent=False) as platform:
            got = _ask(platform)
            CASE.assertEqual(got.status, 502)
            CASE.assertNotIn('x-server-signature', got.headers)


def test_late_answer_to_an_earlier_request_is_skipped() -> None:
    """The own answer follows it on the connection."""
    late = (
        b'HTTP/1.1 200 OK\r\nx-server-signature: s\r\nx-request-id: early\r\n'
        b'content-length: 4\r\n\r\nlate'
    )
    own = (
        b'HTTP/1.1 200 OK\r\nx-server-signature: s\r\n'
        b'x-request-id: request-1\r\ncontent-length: 3\r\n\r\nown'
    )
    with _platform(lambda _: target.Answer(raw=late + own)) as platform:
        CASE.assertEqual(_ask(platform).body, b'own')


def test_target_that_was_not_meant_has_not_run_the_request() -> None:
    """Another target gets it, also if it must not run twice."""
    misdirected = target.Answer(status=421)
    with _platform(
        lambda _: misdirected,
        _sealed,
        idempotent=False,
    ) as platform:
        for _ in range(4):
            CASE.assertEqual(_ask(platform).status, 200)


def test_promise_of_a_target_that_may_have_run_is_not_repeated() -> None:
    """Its 503 does not say that the request did not run."""
    for status in (503, 429, 408):
        refusal = target.Answer(status=status, headers=(_SEAL,))
        with _platform(_always(refusal), idempotent=False) as platform:
            CASE.assertEqual(_ask(platform).status, 502)


def test_refusal_before_running_is_a_promise() -> None:
    """No target took the request, so the caller may come again."""
    refusal = target.Answer(status=503, headers=((b'x-not-executed', b'1'),))
    with _platform(lambda _: refusal, idempotent=False) as platform:
        answer = _ask(platform)
        CASE.assertEqual(answer.status, 503)
        CASE.assertIn('retry-after', answer.headers)
