"""Crowds of clients at the ports of an entry: what they leave unread or open.

Each test bounds what the process and the queues of its port hold together,
and checks that it answers an ordinary request afterwards; none depends on the
speed of the machine. All of them belong to issue 53.
"""

from __future__ import annotations

import contextlib
import os
import typing
import unittest
from unittest import mock

import gevent
from gevent import socket

from mulberryquay.entry import domain_messages
from mulberryquay.standin import target
from testing import crowds, fixtures, processes

CASE: typing.Final = unittest.TestCase()

#: The memory of the process's machine, as its settings say; the process must
#: stay below it.
_MACHINE_MB: typing.Final = 96

#: Limit of the descriptors of a process where connections are the load.
_DESCRIPTORS: typing.Final = 256

_CLIENTS: typing.Final = 400
_HEAD_BYTES: typing.Final = 16_384

#: Receive buffer of clients that read nothing.
_RECEIVE_BYTES: typing.Final = 2048

_LARGE_ANSWER: typing.Final = b'x' * 60_000
_ANSWER: typing.Final = b'x' * 4000
_STALL_S: typing.Final = 600

#: Settings that code without them ignores.
_ENVIRONMENT: typing.Final = {'MULBERRYQUAY_MEMORY_MB': str(_MACHINE_MB)}

_SHORT_LINES: typing.Final = b'a:b\r\n' * 3200
_LONG_PATH: typing.Final = b'x' * 15_000
_BODY_PIECE: typing.Final = b'x' * 16_384
#: Keys of 200 digits.
_KEYS_START: typing.Final = 10**199

#: A body within the default limit of a service.
_LARGE_BODY_BYTES: typing.Final = 60_000_000
_TINY_CHUNKS: typing.Final = b'2\r\nxx\r\n' * 2000


class _Entry(typing.NamedTuple):
    """An entry process and the ports that clients reach."""

    process: typing.Any
    port: int
    peer_port: int

    def is_answered(self) -> bool:
        """Whether an ordinary caller gets an answer."""
        return crowds.is_answered(self.port, '/stock/x')


def _answer(body: bytes) -> target.Handler:
    return lambda _request: target.Answer(body=body)


def _stall(_request: target.ReceivedRequest) -> target.Answer:
    gevent.sleep(_STALL_S)
    return target.Answer()


#: Handler and slots of the target of each service.
_SERVICES: typing.Final[dict[str, tuple[target.Handler, int]]] = {
    'stock': (_answer(b'x'), 1000),
    'page': (_answer(_ANSWER), 1000),
    'large': (_answer(_LARGE_ANSWER), 1000),
    'busy': (_stall, 1),
}


@contextlib.contextmanager
def _entry(
    ledger: str = '', arguments: typing.Sequence[str] = ()
) -> typing.Iterator[_Entry]:
    """Yields an entry with `_SERVICES`; all but ``stock`` may run twice."""
    with contextlib.ExitStack() as stack:
        control = stack.enter_context(fixtures.control())
        control.put('limits', 'callers', max_head_bytes=_HEAD_BYTES)
        for name, (handler, slots) in _SERVICES.items():
            control.declare(
                name,
                route={'timeout_ms': 600_000, 'max_attempts': 1},
                service_class={'idempotent': name != 'stock'},
            )
            stack.enter_context(
                fixtures.announced_target(
                    control, f'{name}-a', handler, service=name, slots=slots
                )
            )
        stack.enter_context(mock.patch.dict(os.environ, _ENVIRONMENT))
        started = stack.enter_context(
            processes.entry(
                control.daemon.feed_port, ledger=ledger, arguments=arguments
            )
        )
        entry = _Entry(started.process, started.port, _peer_port(control))
        fixtures.wait_until(entry.is_answered)
        yield entry


def _peer_port(control: fixtures.Control) -> int:
    """Returns the port for other entries of the only entry."""
    statuses = fixtures.wait_until(control.daemon.entries.entries.values)
    return int(next(iter(statuses)).row.peer_address.rpartition(':')[2])


def _get(path: bytes, lines: bytes = b'') -> bytes:
    return b'GET %b HTTP/1.1\r\nHost: t\r\n%b\r\n' % (path, lines)


def _post(path: bytes, framing: bytes) -> bytes:
    return b'POST %b HTTP/1.1\r\nHost: t\r\n%b\r\n\r\n' % (path, framing)


def _unread(beginning: bytes) -> crowds.Client:
    """Returns a client that reads no answer."""
    return crowds.Client(beginning, receive_bytes=_RECEIVE_BYTES)


def _check(*clients: crowds.Client, at_peer_port: bool = False) -> None:
    """Checks an entry that meets a crowd of equal parts of ``clients``."""
    with _entry() as entry:
        _check_port(
            entry, entry.peer_port if at_peer_port else entry.port, clients
        )


def _check_descriptors(
    client: crowds.Client, *, at_peer_port: bool = False
) -> None:
    """Checks an entry that meets more clients than it may open."""
    with crowds.descriptor_limit(_DESCRIPTORS) as lift_limit, _entry() as entry:
        lift_limit()
        _check_port(
            entry, entry.peer_port if at_peer_port else entry.port, [client]
        )
        open_count = crowds.open_descriptors(entry.process.pid)
        CASE.assertLess(open_count, _DESCRIPTORS)


def _check_port(
    entry: _Entry, port: int, clients: typing.Sequence[crowds.Client]
) -> None:
    crowd = list(clients) * (_CLIENTS // len(clients))
    crowds.check(entry.process, port, crowd, entry.is_answered, _MACHINE_MB)


def test_rows_of_small_requests_whose_answers_nobody_reads() -> None:
    """Each request kept many times its bytes, and 455 were parsed at once."""
    _check(_unread(_get(b'/page/x') * 100))


def test_rows_of_small_requests_that_wait_for_a_target() -> None:
    """As above, while none of them is answered."""
    _check(_unread(_get(b'/busy/x') * 200))


def test_rows_of_heads_of_short_lines() -> None:
    """A head was counted once and kept twice."""
    _check(
        _unread(_get(b'/page/x', _SHORT_LINES) * 40),
        _unread(_get(b'/busy/x', _SHORT_LINES) * 40),
    )


def test_rows_of_large_answers_that_nobody_reads() -> None:
    """Answers were counted once they were here, whatever there was."""
    _check(_unread(_get(b'/large/x') * 200))


def test_bytes_behind_a_body_over_the_limit() -> None:
    """What was not read filled the queues."""
    head = _post(b'/stock/x', b'Content-Length: 500000000')
    _check(crowds.Client(head, _BODY_PIECE, 100))


def test_bodies_that_wait_for_a_target() -> None:
    """As above, behind the part of a body that is read before."""
    head = _post(b'/busy/x', b'Content-Length: 5000000')
    _check(crowds.Client(head, _BODY_PIECE, 100))


def test_bodies_of_tiny_chunks() -> None:
    """A part that was parsed kept many times its bytes."""
    head = _post(b'/busy/x', b'Transfer-Encoding: chunked')
    _check(
        crowds.Client(head, _TINY_CHUNKS, 5),
        crowds.Client(_get(b'/busy/x') * 7 + head, _TINY_CHUNKS, 5),
        crowds.Client(head + b'0\r\n', b'a:b\r\n' * 2000, 5),
    )


def test_requests_with_long_paths() -> None:
    """Their records kept the paths: 15,000 of up to 16 KiB."""
    _check(
        _unread(_get(b'/page/' + _LONG_PATH) * 20),
        _unread(_get(b'/none/' + _LONG_PATH) * 20),
    )


def test_requests_with_long_known_headers() -> None:
    """What the entry reads of a head was counted as nothing."""
    account = b'mulberryquay-account: %b\r\n' % _LONG_PATH
    _check(_unread(_get(b'/page/x', account) * 40))


def test_more_unfinished_bodies_than_descriptors() -> None:
    """They kept their places, and others got none."""
    _check_descriptors(crowds.Client(_post(b'/stock/x', b'Content-Length: 10')))


def test_more_unread_answers_than_descriptors() -> None:
    """As above; each caller reads nothing."""
    _check_descriptors(_unread(_get(b'/large/x') * 200))


def test_more_rows_of_small_requests_than_descriptors() -> None:
    """Connections to targets, all idle, left none for callers."""
    rows = _unread(_get(b'/stock/x') * 300)
    _check_descriptors(rows._replace(awaits_answer=True))


def test_more_peer_connections_than_descriptors() -> None:
    """The port for other entries had no bound of connections."""
    _check_descriptors(crowds.Client(b''), at_peer_port=True)


def test_rows_of_requests_at_the_peer_port() -> None:
    """It is served like that of callers."""
    _check(_unread(_get(b'/page/x') * 100), at_peer_port=True)


def test_unfinished_requests_at_the_peer_port() -> None:
    """As above: heads and bodies that do not end."""
    body = _post(b'/busy/x', b'Content-Length: 5000000')
    _check(
        crowds.Client(_get(b'/stock/x', _SHORT_LINES)[:-2]),
        crowds.Client(body, _BODY_PIECE, 100),
        at_peer_port=True,
    )


def test_keyed_requests_without_a_ledger() -> None:
    """Each left a settlement to send to a ledger that it never reached."""
    requests = b''.join(
        _post(
            b'/stock/x',
            b'Content-Length: 0\r\nIdempotency-Key: %b' % str(key).encode(),
        )
        for key in range(_KEYS_START, _KEYS_START + 200)
    )
    closed_port = processes.free_ports(1)[0]
    with _entry(ledger=f'127.0.0.1:{closed_port}') as entry:
        _check_port(entry, entry.port, [crowds.Client(requests)])


def test_datagrams_about_services_and_targets_that_nobody_knows() -> None:
    """An entry that shares what it knows kept each name for good."""
    with (
        _entry(arguments=('--ask_load', '--share_load')) as entry,
        contextlib.closing(_datagram_socket()) as sender,
    ):
        for number in range(_CLIENTS):
            name = f'{number}'.ljust(900_000, 'x')
            for message in (
                domain_messages.CallBegun(name, 'target'),
                domain_messages.CallBegun('stock', name),
                domain_messages.SightingsAsked(number, name),
            ):
                datagram = domain_messages.encode(message)
                sender.sendto(datagram, ('127.0.0.1', entry.peer_port))
            gevent.sleep(0.005)
        fixtures.wait_until(entry.is_answered)
        peak_mb = crowds.peak_memory_mb(entry.process.pid)
        CASE.assertLess(peak_mb, _MACHINE_MB)


def _datagram_socket() -> typing.Any:
    return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)


def test_single_large_body_is_served_in_calm() -> None:
    """What bounds a crowd must not refuse one request within the limits."""
    chunk = b'%x\r\n%b\r\n' % (len(_BODY_PIECE), _BODY_PIECE)
    pieces = _LARGE_BODY_BYTES // len(_BODY_PIECE)
    length = b'Content-Length: %d' % (pieces * len(_BODY_PIECE))
    with _entry() as entry:
        for framing, body in (
            (length, _BODY_PIECE * pieces),
            (b'Transfer-Encoding: chunked', chunk * pieces + b'0\r\n\r\n'),
        ):
            request = _post(b'/stock/x', framing) + body
            CASE.assertEqual(fixtures.send(entry.port, request).status, 200)
        peak_mb = crowds.peak_memory_mb(entry.process.pid)
        CASE.assertLess(peak_mb, _MACHINE_MB)
