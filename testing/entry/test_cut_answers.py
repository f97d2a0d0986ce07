"""Tests of answers that a target begins and does not end."""

from __future__ import annotations

import contextlib
import itertools
import typing
import unittest

from mulberryquay.coordination import errors
from mulberryquay.entry import daemon
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

#: An answer of this beginning ends with its connection.
_UNSIZED: typing.Final = b'HTTP/1.1 200 OK\r\nserver: t\r\n\r\n'
_HEAD: typing.Final = b'HTTP/1.1 200 OK\r\nserver: t\r\n'
_ANSWERS: typing.Final = {
    'length': b'%bcontent-length: 12\r\n\r\nhello, world' % _HEAD,
    'empty': b'%bcontent-length: 0\r\n\r\n' % _HEAD,
    'chunked': (
        b'%btransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx: y\r\n\r\n'
        % _HEAD
    ),
    'interim': (
        b'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'
        b'%bcontent-length: 2\r\n\r\nok' % _HEAD
    ),
    'unsized': _UNSIZED,
    'no content': b'HTTP/1.1 204 No Content\r\nserver: t\r\n\r\n',
}


class _CuttingTarget:
    """Sends the beginning of an answer, then closes or resets."""

    def __init__(self) -> None:
        self.answer = target.Answer()

    def handle(self, _request: target.ReceivedRequest) -> target.Answer:
        """Returns the answer to send."""
        return self.answer


@contextlib.contextmanager
def _scene(cutting: _CuttingTarget) -> typing.Iterator[daemon.EntryDaemon]:
    """Yields an entry whose only target does not end its answers."""
    with (
        fixtures.control() as control,
        fixtures.entry(control) as entry,
        fixtures.announced_target(control, 'cutting', cutting.handle),
    ):
        control.declare(service_class={'idempotent': False})
        fixtures.wait_for_targets(entry, 'cutting')
        control.wait_in_force()
        yield entry


def _is_taken_for_complete(entry: daemon.EntryDaemon, path: str) -> bool:
    """Whether the caller got an answer that looks like the target's."""
    try:
        answer = fixtures.ask(entry, path)
    except (OSError, errors.MulberryquayError):
        return False
    return not answer.outcome.startswith('unknown/')


def test_answer_cut_at_any_byte_is_not_taken_for_complete() -> None:
    """Issue 28: the beginning of a head must not become an empty answer."""
    cutting = _CuttingTarget()
    with _scene(cutting) as entry:
        for (name, answer), resets in itertools.product(
            _ANSWERS.items(), (False, True)
        ):
            taken = []
            for size in range(len(answer)):
                cutting.answer = target.Answer(raw=answer[:size], resets=resets)
                if _is_taken_for_complete(entry, '/stock/x'):
                    taken.append(size)
            CASE.assertEqual(taken, [], f'{name}, resets: {resets}')


def test_unsized_answer_that_is_reset_is_not_taken_for_complete() -> None:
    """Only a close ends such an answer, not a reset."""
    cutting = _CuttingTarget()
    with _scene(cutting) as entry:
        for body in (b'', b'hello'):
            cutting.answer = target.Answer(raw=_UNSIZED + body, resets=True)
            CASE.assertFalse(_is_taken_for_complete(entry, '/stock/x'), body)


def test_unsized_answer_is_framed_and_closes_the_connection() -> None:
    """Guards against an end that only the end of the connection tells.

    A caller that reads to the end of the connection must not wait for it. The
    answer to a HEAD request has no body, so its connection stays open.
    """
    cutting = _CuttingTarget()
    with _scene(cutting) as entry:
        cutting.answer = target.Answer(raw=_UNSIZED + b'hello')
        answer = fixtures.ask(entry, '/stock/x')
        CASE.assertEqual(answer.body, b'hello')
        CASE.assertEqual(answer.headers['transfer-encoding'], 'chunked')
        CASE.assertEqual(answer.headers['connection'], 'close')
        cutting.answer = target.Answer(raw=_UNSIZED)
        answer = fixtures.ask(entry, '/stock/x', method='HEAD')
        CASE.assertEqual(answer.body, b'')
        CASE.assertNotIn('connection', answer.headers)
