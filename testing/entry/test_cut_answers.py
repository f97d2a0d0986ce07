"""Tests of answers that a target begins and does not end."""

from __future__ import annotations

import contextlib
import errno
import itertools
import typing
import unittest
from unittest import mock

import gevent
from gevent import event, server, socket

from mulberryquay import sockets
from mulberryquay.coordination import errors
from mulberryquay.entry import connections, daemon
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


#: More than the socket buffers between the target and the caller hold.
_LONG_PART: typing.Final = bytes(12 << 20)


class _EarlyTarget:
    """Answers an upload at once, without a length, and reads none of it."""

    def __init__(self, control: fixtures.Control) -> None:
        """Announces itself to ``control``."""
        self.has_ended = event.Event()
        self.may_end = event.Event()
        self.resets = True
        self.part = _LONG_PART
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        control.daemon.targets.merge_announced(
            fixtures.warm_row('early', f'127.0.0.1:{self._server.server_port}')
        )

    def stop(self) -> None:
        """Closes the port."""
        self._server.stop(timeout=0)

    def _serve(self, connection: typing.Any, _address: typing.Any) -> None:
        with connection, contextlib.suppress(OSError):
            if not connection.recv(1):
                return
            connection.sendall(_UNSIZED)
            connection.settimeout(0.5)
            with contextlib.suppress(TimeoutError):
                connection.sendall(self.part)
            self.may_end.wait(5)
            if self.resets:
                sockets.set_reset_on_close(connection, is_reset=True)
            else:
                connection.shutdown(socket.SHUT_WR)
                gevent.sleep(0.5)
        self.has_ended.set()


@contextlib.contextmanager
def _early_scene() -> typing.Iterator[tuple[_EarlyTarget, typing.Any]]:
    """Yields an early target and a caller that begins a chunked upload."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        early = _EarlyTarget(control)
        control.declare(service_class={'idempotent': False})
        fixtures.wait_for_targets(entry, 'early')
        control.wait_in_force()
        with socket.create_connection(('127.0.0.1', entry.port)) as caller:
            caller.settimeout(5)
            caller.sendall(
                b'POST /stock/x HTTP/1.1\r\nHost: t\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n' + _UPLOADED
            )
            yield early, caller
        early.stop()


#: More than entries keep to send it again, so that the rest is streamed.
_UPLOADED: typing.Final = b'10000\r\n' + bytes(65536) + b'\r\n'


def _read_to_end(caller: typing.Any) -> bytes:
    """Returns what a caller gets, with the end of a connection or a reset."""
    received = bytearray()
    with contextlib.suppress(OSError):
        while part := caller.recv(1 << 20):
            received += part
    return bytes(received)


def test_reset_that_the_upload_meets_does_not_complete_the_answer() -> None:
    """A part of an answer without length was passed on as whole (issue 58).

    The kernel tells a reset once: here to the task that sends the upload,
    while the one that passes the answer on waits for the caller.
    """
    with _early_scene() as (early, caller):
        gevent.sleep(0.8)
        early.may_end.set()
        early.has_ended.wait(5)
        with contextlib.suppress(OSError):
            for _ in range(4):
                caller.sendall(_UPLOADED)
                gevent.sleep(0.05)
        received = _read_to_end(caller)
    CASE.assertIn(b'200 OK', received[:100])
    CASE.assertFalse(received.endswith(b'0\r\n\r\n'))


def test_upload_that_cannot_be_read_does_not_complete_the_answer() -> None:
    """The entry interrupts the connection, which looks like its end.

    A task that waits for the target is told; here it waits for the caller.
    """
    with _early_scene() as (early, caller):
        gevent.sleep(0.8)
        caller.sendall(b'this is no chunk\r\n')
        gevent.sleep(0.1)
        received = _read_to_end(caller)
        early.may_end.set()
    CASE.assertIn(b'200 OK', received[:100])
    CASE.assertFalse(received.endswith(b'0\r\n\r\n'))


def test_orderly_end_completes_the_answer_though_the_upload_is_unread() -> None:
    """An answer that ends with its connection must not be taken for broken."""
    with _early_scene() as (early, caller):
        early.part = b'hello'
        early.resets = False
        early.may_end.set()
        gevent.sleep(0.2)
        with contextlib.suppress(OSError):
            caller.sendall(_UPLOADED)
        received = _read_to_end(caller)
    CASE.assertTrue(received.endswith(b'5\r\nhello\r\n0\r\n\r\n'), received)


def test_only_a_reset_makes_the_end_of_a_connection_no_end() -> None:
    """A target may send its answer for longer than an upload may wait."""
    errors_and_effects = (
        (ConnectionResetError(errno.ECONNRESET, 'reset'), True),
        (TimeoutError(errno.ETIMEDOUT, 'no acknowledgement'), True),
        (BrokenPipeError(errno.EPIPE, 'ended before'), False),
        (TimeoutError('timed out'), False),
    )
    for error, is_broken in errors_and_effects:
        with socket.socket() as connected:
            connection = connections.TargetConnection(connected)
            connection.socket = mock.MagicMock()
            connection.socket.sendall.side_effect = error
            with CASE.assertRaises(OSError):
                connection.send_body(b'part')
            CASE.assertEqual(connection.reader.is_broken, is_broken, error)
