"""Tests of targets that send an answer a second time, late.

The copy may come when the connection is in use for the next request.
"""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent
from gevent import server, socket

from mulberryquay import announcer
from mulberryquay.entry import daemon, http_heads, messages
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_PIECE_BYTES: typing.Final = 7


class RepeatingTarget:
    """Answers with the path; sends each answer again before the next one."""

    def __init__(self, *, before_copy: bytes = b'', in_pieces: bool) -> None:
        """Sends ``before_copy`` ahead of each copy."""
        self._before_copy = before_copy
        self._in_pieces = in_pieces
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self.connection_count = 0

    @property
    def address(self) -> str:
        """The address to announce."""
        return f'127.0.0.1:{self._server.server_port}'

    def start(self) -> None:
        """Starts serving."""
        self._server.start()

    def stop(self) -> None:
        """Closes the port."""
        self._server.stop(timeout=0)

    def _serve(self, connection: typing.Any, _address: typing.Any) -> None:
        self.connection_count += 1
        reader = messages.RequestReader(connection)
        copy = b''
        while True:
            head = reader.read_head()
            if head is None:
                return
            reader.read_part()
            answer = _answer_to(head)
            if copy:
                self._send(connection, self._before_copy + copy)
            connection.sendall(answer)
            copy = answer

    def _send(self, connection: typing.Any, sent: bytes) -> None:
        size = _PIECE_BYTES if self._in_pieces else len(sent)
        for start in range(0, len(sent), size):
            connection.sendall(sent[start : start + size])
            gevent.sleep(0.001)


def _answer_to(head: http_heads.RequestHead) -> bytes:
    """Returns an answer with the id of its request, unless it is a probe."""
    request_id = head.find(b'mulberryquay-request-id')
    fields = (
        b'mulberryquay-request-id: %b\r\n' % request_id if request_id else b''
    )
    return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n%b\r\n%b' % (
        len(head.path),
        fields,
        head.path,
    )


@contextlib.contextmanager
def _scene(
    repeating: RepeatingTarget | RefusingTarget, *arguments: str
) -> typing.Iterator[daemon.EntryDaemon]:
    """Yields an entry whose only target repeats its answers."""
    with (
        fixtures.control() as control,
        fixtures.entry(control, arguments=arguments) as entry,
        contextlib.ExitStack() as stack,
    ):
        repeating.start()
        stack.callback(repeating.stop)
        control.declare(service_class={'idempotent': False})
        announced = announcer.Announcer(
            fixtures.announcement('repeating', repeating.address),
            [control.api],
        )
        announced.start()
        stack.callback(announced.stop)
        fixtures.wait_for_targets(entry, 'repeating')
        control.wait_in_force()
        yield entry


def _check_answers(
    entry: daemon.EntryDaemon, paths: typing.Sequence[str]
) -> None:
    for path in paths:
        answer = fixtures.ask(entry, path)
        CASE.assertEqual(answer.body.decode(), path)


def test_copy_of_an_answer_does_not_reach_the_next_caller() -> None:
    """A copy must be recognized by its request id and skipped."""
    interim = b'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'
    for before_copy in (b'', interim):
        for in_pieces in (False, True):
            repeating = RepeatingTarget(
                before_copy=before_copy, in_pieces=in_pieces
            )
            with (
                CASE.subTest(before_copy=before_copy, in_pieces=in_pieces),
                _scene(repeating) as entry,
            ):
                _check_answers(entry, [f'/stock/{n}' for n in range(6)])
                CASE.assertEqual(repeating.connection_count, 1)


def test_copy_behind_a_pipelined_row_does_not_reach_the_next_caller() -> None:
    """A caller's row must get its own answers through reused connections."""
    repeating = RepeatingTarget(in_pieces=True)
    with _scene(repeating) as entry:
        paths = [f'/stock/{n}' for n in range(6)]
        row = b''.join(fixtures.request_bytes(path) for path in paths)
        connection = socket.create_connection(('127.0.0.1', entry.port))
        connection.sendall(row)
        reader = messages.ResponseReader(connection)
        bodies = [fixtures.receive(reader).body.decode() for _ in paths]
        connection.close()
        CASE.assertEqual(bodies, paths)


def test_probes_and_requests_do_not_get_each_others_answers() -> None:
    """A probe on a connection in use again must not mix up its answers."""
    repeating = RepeatingTarget(in_pieces=False)
    with _scene(repeating, '--ask_load') as entry:
        paths = []
        for number in range(6):
            paths.append(f'/stock/{number}')
            answer = fixtures.ask(entry, paths[-1])
            CASE.assertEqual(answer.body.decode(), paths[-1])
            gevent.sleep(0.08)


def test_id_of_another_system_is_no_late_answer() -> None:
    """A target may pass on headers of another installation unchanged."""

    def answer(_request: target.ReceivedRequest) -> target.Answer:
        return target.Answer(
            body=b'done', headers=[(b'mulberryquay-request-id', b'elsewhere-1')]
        )

    with (
        fixtures.control() as control,
        fixtures.entry(control, arguments=['--ask_load']) as entry,
        fixtures.announced_target(control, 'a', answer),
    ):
        control.declare(service_class={'idempotent': False})
        fixtures.wait_for_targets(entry, 'a')
        control.wait_in_force()
        for _ in range(3):
            CASE.assertEqual(fixtures.ask(entry, '/stock/x').body, b'done')
            gevent.sleep(0.08)


_REFUSAL: typing.Final = (
    b'HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nmulberryquay-not-run: 1\r\n'
)


class RefusingTarget:
    """Refuses probes, and writes a refusal again ahead of its next answer.

    Each answer to a request has the id of the request.
    """

    def __init__(self, *, refusal_fields: bytes, refuses_probes: bool) -> None:
        """Adds ``refusal_fields`` to each refusal."""
        self._refusal = b'%b%b\r\n' % (_REFUSAL, refusal_fields)
        self._refuses_probes = refuses_probes
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self.runs: list[bytes] = []

    @property
    def address(self) -> str:
        """The address to announce."""
        return f'127.0.0.1:{self._server.server_port}'

    def start(self) -> None:
        """Starts serving."""
        self._server.start()

    def stop(self) -> None:
        """Closes the port."""
        self._server.stop(timeout=0)

    def _serve(self, connection: typing.Any, _address: typing.Any) -> None:
        reader = messages.RequestReader(connection)
        is_used = False
        while True:
            head = reader.read_head()
            if head is None:
                return
            reader.read_part()
            if head.find(b'mulberryquay-request-id') is None:
                is_refused = self._refuses_probes
                connection.sendall(
                    self._refusal if is_refused else _answer_to(head)
                )
            else:
                self.runs.append(head.path)
                if is_used:
                    connection.sendall(self._refusal)
                    gevent.sleep(0.001)
                connection.sendall(_answer_to(head))
            is_used = True


def _check_refusal_is_not_believed(
    refusing: RefusingTarget, *arguments: str
) -> None:
    with _scene(refusing, *arguments) as entry:
        for number in range(4):
            path = f'/stock/{number}'
            answer = fixtures.ask(entry, path, method='POST')
            is_answered = answer.body.decode() == path
            CASE.assertTrue(
                is_answered or answer.outcome.startswith('unknown/'),
                answer,
            )
            CASE.assertEqual(refusing.runs.count(path.encode()), 1)
            gevent.sleep(0.08)


def test_repeated_refusal_of_a_probe_is_not_taken_for_one_of_a_request() -> (
    None
):
    """Issue 28: a request that ran must not be said not to have run."""
    _check_refusal_is_not_believed(
        RefusingTarget(refusal_fields=b'', refuses_probes=True), '--ask_load'
    )


def test_refusal_without_id_from_a_target_that_sends_ids_is_not_believed() -> (
    None
):
    """Issue 28: a request that ran must not be said not to have run."""
    _check_refusal_is_not_believed(
        RefusingTarget(refusal_fields=b'', refuses_probes=False)
    )


def test_refusal_of_a_request_on_another_connection_is_not_believed() -> None:
    """Issue 28: a request that ran must not be said not to have run."""
    _check_refusal_is_not_believed(
        RefusingTarget(
            refusal_fields=b'mulberryquay-request-id: another\r\n',
            refuses_probes=False,
        )
    )
