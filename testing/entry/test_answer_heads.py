"""Fuzz of the heads that targets answer with, at a running entry."""

from __future__ import annotations

import typing
import unittest

import hypothesis
from hypothesis import strategies

from mulberryquay.entry import daemon
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_EXAMPLES: typing.Final = 300
_BODY: typing.Final = b'whole body'

#: The status of a target that does not know its service; it is not asked again.
_MISDIRECTED: typing.Final = 421

_STATUSES: typing.Final = (
    strategies.integers(0, 999)
    .filter(lambda status: status != _MISDIRECTED)
    .map(lambda status: b'%03d' % status)
)
_ODD_STATUSES: typing.Final = strategies.sampled_from(
    (b'', b'20', b'2000', b'+20', b'-20', b'2x0', b' 200', b'200.0')
)
_PROTOCOLS: typing.Final = strategies.sampled_from(
    (*(6 * (b'HTTP/1.1',)), b'HTTP/1.0', b'HTTP/0.9', b'HTTP/2.0', b'RTSP/1.0')
)
_HEADERS: typing.Final = strategies.lists(
    strategies.sampled_from(
        (b'x: y', b'connection: close', b'connection: x', b'server:', b'te: x')
    )
    # The caller of these tests reads ASCII headers.
    | strategies.text(
        strategies.characters(codec='ascii', exclude_characters='\r\n'),
        max_size=6,
    ).map(lambda text: b'x: ' + text.encode()),
    max_size=3,
)
_FRAMINGS: typing.Final = {
    'length': (b'content-length: 10\r\n', _BODY),
    'chunked': (
        b'transfer-encoding: chunked\r\n',
        b'a\r\nwhole body\r\n0\r\n\r\n',
    ),
    'unsized': (b'', _BODY),
    'short': (b'content-length: 11\r\n', _BODY),
    'twice': (b'content-length: 10\r\ncontent-length: 9\r\n', _BODY),
}
_WHOLE: typing.Final = frozenset(('length', 'chunked', 'unsized'))
_INTERIM: typing.Final = b'HTTP/1.1 103 Early Hints\r\n\r\n'


class _Answers:
    """The handler of a target, and what it sends next."""

    def __init__(self) -> None:
        self.raw = b''

    def handle(self, _request: target.ReceivedRequest) -> target.Answer:
        """Returns the answer to send."""
        return target.Answer(raw=self.raw)


def _check_answer(entry: daemon.EntryDaemon, line: bytes, framing: str) -> None:
    """Checks that the caller gets what the target gave, or a refusal."""
    got = fixtures.ask(entry, '/stock/x')
    if not got.outcome.startswith('answered/'):
        CASE.assertRegex(got.outcome, '^(unknown|not-run)/', line)
        CASE.assertNotIn(_BODY, got.body)
        return
    CASE.assertRegex(line, rb'^HTTP/1\.[01] [2-5][0-9]{2}( |$)')
    CASE.assertEqual(got.status, int(line.split(b' ')[1]))
    if got.status not in {204, 304}:
        CASE.assertIn(framing, _WHOLE)
        CASE.assertEqual(got.body, _BODY)


def test_caller_gets_only_what_a_target_gave_or_a_refusal() -> None:
    """A status of 000 reached a caller, or reset its connection (issue 45)."""
    answers = _Answers()
    with (
        fixtures.control() as control,
        fixtures.entry(control) as entry,
        fixtures.announced_target(control, 'odd', answers.handle) as odd,
    ):
        control.declare(service_class={'idempotent': False})
        fixtures.wait_for_targets(entry, 'odd')
        control.wait_in_force()

        @fixtures.hypothesis_settings(_EXAMPLES)
        @hypothesis.given(
            _PROTOCOLS,
            _STATUSES | _STATUSES | _ODD_STATUSES,
            strategies.sampled_from((b'', b' ', b' OK', b'OK', b'\tOK')),
            _HEADERS,
            strategies.sampled_from(sorted(_FRAMINGS)),
            strategies.integers(0, 2),
        )
        def check(
            protocol: bytes,
            status: bytes,
            reason: bytes,
            headers: list[bytes],
            framing: str,
            interim_answers: int,
        ) -> None:
            line = b'%b %b%b' % (protocol, status, reason)
            length, body = _FRAMINGS[framing]
            answers.raw = (
                _INTERIM * interim_answers
                + b''.join(part + b'\r\n' for part in (line, *headers))
                + b'%b\r\n%b' % (length, body)
            )
            _check_answer(entry, line, framing)

        check()
        CASE.assertGreater(sum(odd.runs.values()), _EXAMPLES // 2)
        answers.raw = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
        fixtures.wait_until(
            lambda: fixtures.ask(entry, '/stock/x').body == b'ok'
        )
