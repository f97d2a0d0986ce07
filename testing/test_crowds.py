"""Crowds of clients that nobody controls, against processes of their own.

Each test bounds what the process holds and checks that it answers an ordinary
request afterwards; none depends on the speed of the machine.
"""

from __future__ import annotations

import contextlib
import json
import os
import typing
import unittest
from unittest import mock

from testing import crowds, fixtures, processes

CASE: typing.Final = unittest.TestCase()

#: The memory of the process's machine, as its settings say; the process must
#: stay below it.
_MACHINE_MB: typing.Final = 96

#: Limit of the descriptors of a process where connections are the load.
_DESCRIPTORS: typing.Final = 256

_CLIENTS: typing.Final = 400
_HEAD_BYTES: typing.Final = 16_384
_BODY_BYTES: typing.Final = 1_000_000
_RESOURCE_BYTES: typing.Final = 300_000

_START: typing.Final = b'POST /stock/x HTTP/1.1\r\nHost: t\r\n'
_WATCH: typing.Final = b'GET /v1/watch?since=0 HTTP/1.1\r\nHost: t\r\n\r\n'
_ANSWERS: typing.Final = b'GET /metrics HTTP/1.1\r\nHost: t\r\n\r\n' * 60
_LARGE_ANSWERS: typing.Final = (
    b'GET /v1/services/stock HTTP/1.1\r\nHost: t\r\n\r\n' * 100
)
_SHORT_LINE: typing.Final = b'a:b\r\n'
_ODD_LINES: typing.Final = (
    b'te:\r\n',
    b"!#$%&'*+-.^_`|~:\t\r\n",
    b'connection:\xff\r\n',
    b'host:\r\n',
)

_SERVICE: typing.Final = {'version': 1, 'spec': {}}

#: Settings that code without them ignores.
_ENVIRONMENT: typing.Final = {'MULBERRYQUAY_MEMORY_MB': str(_MACHINE_MB)}

Ask = typing.Callable[[], bool]


def _lines(lines: typing.Sequence[bytes], size: int) -> bytes:
    """Returns whole header lines of about ``size`` bytes in all."""
    block = b''.join(lines)
    return block * (size // len(block))


def _service(size: int, version: int = 1) -> typing.Any:
    """Returns a service whose description takes about ``size`` bytes."""
    path = f'/{version}{"x" * size}'
    return {'version': version, 'spec': {'health_path': path}}


def _announcement(name: str) -> bytes:
    """Returns the announcement of a target with a long version."""
    body = json.dumps(
        fixtures.announcement(name, '127.0.0.1:9', version='x' * _BODY_BYTES)
    )
    return fixtures.request_bytes(
        '/v1/announcements', method='POST', body=body.encode()
    )


_SHORT_LINES: typing.Final = _lines([_SHORT_LINE], _HEAD_BYTES - 100)


@contextlib.contextmanager
def _entry() -> typing.Iterator[processes.EntryProcess]:
    """Yields an entry with the service ``stock`` and the head limit."""
    with contextlib.ExitStack() as stack:
        control = stack.enter_context(fixtures.control())
        control.put('limits', 'callers', max_head_bytes=_HEAD_BYTES)
        control.declare(
            'stock', route={'timeout_ms': 600_000, 'max_attempts': 1}
        )
        stack.enter_context(
            fixtures.announced_target(control, 'stock-a', slots=1000)
        )
        stack.enter_context(mock.patch.dict(os.environ, _ENVIRONMENT))
        entry = stack.enter_context(processes.entry(control.daemon.feed_port))
        fixtures.wait_until(lambda: crowds.is_answered(entry.port, '/stock/x'))
        yield entry


@contextlib.contextmanager
def _control() -> typing.Iterator[tuple[typing.Any, int]]:
    """Yields a control host and the port of its API."""
    with (
        fixtures.folder() as folder,
        mock.patch.dict(os.environ, _ENVIRONMENT),
        processes.control(folder) as (process, line),
    ):
        port = fixtures.parse_ports(line)[0]
        fixtures.wait_until(lambda: crowds.is_answered(port, '/readyz'))
        yield process, port


@contextlib.contextmanager
def _ledger() -> typing.Iterator[tuple[typing.Any, int]]:
    """Yields a ledger and the port of its metrics."""
    with (
        fixtures.folder() as folder,
        mock.patch.dict(os.environ, _ENVIRONMENT),
        processes.ledger(folder) as (process, line),
    ):
        yield process, fixtures.parse_ports(line)[-1]


def _check_entry(*clients: crowds.Client) -> None:
    """Checks an entry that meets a crowd of equal parts of ``clients``."""
    with _entry() as entry:
        _check(
            entry.process,
            entry.port,
            clients,
            lambda: crowds.is_answered(entry.port, '/stock/x'),
        )


def _check_descriptors_of_api(
    client: crowds.Client, service: typing.Any = _SERVICE
) -> None:
    """Checks a control host whose API meets more clients than it may open."""
    with (
        crowds.descriptor_limit(_DESCRIPTORS) as lift_limit,
        _control() as (process, port),
    ):
        lift_limit()
        processes.client(port).call('PUT', '/v1/services/stock', service)
        _check(
            process,
            port,
            [client],
            lambda: crowds.is_answered(port, '/readyz'),
        )
        CASE.assertLess(crowds.open_descriptors(process.pid), _DESCRIPTORS)


def _check_api(*clients: crowds.Client, service: typing.Any = _SERVICE) -> None:
    """Checks a control host whose API meets a crowd."""
    with _control() as (process, port):
        processes.client(port).call('PUT', '/v1/services/stock', service)
        _check(
            process, port, clients, lambda: crowds.is_answered(port, '/readyz')
        )


def _check(
    process: typing.Any,
    port: int,
    clients: typing.Sequence[crowds.Client],
    is_answered: Ask,
) -> None:
    crowd = list(clients) * (_CLIENTS // len(clients))
    crowds.check(process, port, crowd, is_answered, _MACHINE_MB)


def test_many_short_header_lines_in_unfinished_heads() -> None:
    """Each kept line took many times its size (issue 45)."""
    _check_entry(crowds.Client(_START + _SHORT_LINES))


def test_many_odd_header_lines_in_unfinished_heads() -> None:
    """Lines that the entry reads itself were kept each (issue 45)."""
    _check_entry(
        *(
            crowds.Client(_START + _lines([line], _HEAD_BYTES - 100))
            for line in _ODD_LINES
        )
    )


def test_whole_heads_of_short_lines_with_unfinished_bodies() -> None:
    """A head is kept while its body is awaited (issue 45)."""
    ending = b'Content-Length: 10\r\n\r\nnine byte'
    _check_entry(crowds.Client(_START + _SHORT_LINES + ending))


def test_heads_over_the_limit_and_without_end() -> None:
    """More than the limit was read and kept of such a head (issue 45)."""
    _check_entry(
        crowds.Client(_START, _SHORT_LINES, 20),
        crowds.Client(b'GET /', b'x' * _HEAD_BYTES, 20),
        crowds.Client(_START + b'X: ', b'y' * _HEAD_BYTES, 20),
        crowds.Client(_START + _SHORT_LINES, _SHORT_LINE, 20),
    )


def test_empty_lines_without_end_before_a_request() -> None:
    """They are no part of any head (issue 45)."""
    _check_entry(crowds.Client(b'\r\n', b'\r\n' * 8192, 20))


def test_large_bodies_that_stop_just_short_of_their_end() -> None:
    """Each holds what was read of it until it ends (issue 45)."""
    head = _START + b'Content-Length: %d\r\n\r\n' % _BODY_BYTES
    piece = b'x' * 10_000
    _check_entry(
        crowds.Client(head + b'x' * (_BODY_BYTES - 1)),
        crowds.Client(head, piece, _BODY_BYTES // len(piece) - 1),
    )


def test_more_connections_than_descriptors() -> None:
    """Without a descriptor left, no other caller gets in (issue 45)."""
    with crowds.descriptor_limit(_DESCRIPTORS) as lift_limit, _entry() as entry:
        lift_limit()
        _check(
            entry.process,
            entry.port,
            [crowds.Client(b'')],
            lambda: crowds.is_answered(entry.port, '/stock/x'),
        )
        CASE.assertLess(
            crowds.open_descriptors(entry.process.pid), _DESCRIPTORS
        )


def test_heads_at_the_metrics_address_of_an_entry() -> None:
    """It is served by another server than callers are (issue 45)."""
    with _entry() as entry:
        _check(
            entry.process,
            entry.admin_port,
            [
                crowds.Client(_START + _SHORT_LINES),
                crowds.Client(_START, _SHORT_LINES, 20),
            ],
            lambda: crowds.is_answered(entry.admin_port, '/metrics'),
        )


def test_heads_at_the_api_of_a_control_host() -> None:
    """Operators and targets must reach it beside such a crowd (issue 45)."""
    _check_api(
        crowds.Client(_START + _SHORT_LINES),
        crowds.Client(_START, _SHORT_LINES, 20),
        crowds.Client(b'GET /', b'x' * _HEAD_BYTES, 20),
        crowds.Client(b'\r\n', b'\r\n' * 8192, 20),
    )


def test_large_bodies_at_the_api_of_a_control_host() -> None:
    """Each was kept as a whole until it ended (issue 45)."""
    head = (
        b'PUT /v1/services/stock HTTP/1.1\r\nHost: t\r\n'
        b'Content-Length: %d\r\n\r\n' % _BODY_BYTES
    )
    _check_api(crowds.Client(head + b'x' * (_BODY_BYTES - 1)))


def test_announcements_with_long_versions_at_the_api() -> None:
    """Each target is kept for its lease with all that it said (issue 53)."""
    _check_api(
        *(
            crowds.Client(_announcement(f'stock-{number}'), awaits_answer=True)
            for number in range(_CLIENTS)
        )
    )


def test_declared_resources_of_many_names_at_the_api() -> None:
    """Each is kept until it is deleted (issue 53)."""
    body = json.dumps(_service(_RESOURCE_BYTES)).encode()
    _check_api(
        *(
            crowds.Client(
                fixtures.request_bytes(
                    f'/v1/services/stock-{number}', method='PUT', body=body
                ),
                awaits_answer=True,
            )
            for number in range(_CLIENTS)
        )
    )


def test_declared_resource_of_many_versions_at_the_api() -> None:
    """Each is kept for watches and for control hosts that lag (issue 53)."""
    _check_api(
        *(
            crowds.Client(
                fixtures.request_bytes(
                    '/v1/services/stock',
                    method='PUT',
                    body=json.dumps(_service(_RESOURCE_BYTES, number)).encode(),
                ),
                awaits_answer=True,
            )
            for number in range(2, _CLIENTS + 2)
        )
    )


def test_more_connections_to_the_api_than_descriptors() -> None:
    """Without one left, neither operators nor targets get in (issue 45)."""
    _check_descriptors_of_api(crowds.Client(b''))


def test_more_unfinished_requests_to_the_api_than_descriptors() -> None:
    """As above; each began a request (issue 45)."""
    _check_descriptors_of_api(
        crowds.Client(
            b'PUT /v1/services/stock HTTP/1.1\r\nHost: t\r\n'
            b'Content-Length: 9\r\n\r\n'
        )
    )


def test_more_watches_of_the_api_than_descriptors() -> None:
    """A watch has no end, so none gave its place to others (issue 53)."""
    _check_descriptors_of_api(crowds.Client(_WATCH))


def test_watches_of_the_api_that_have_begun_give_way() -> None:
    """They did not end, and each new client was closed for it (issue 53)."""
    _check_descriptors_of_api(crowds.Client(_WATCH, awaits_answer=True))


def test_answers_of_the_api_that_nobody_reads() -> None:
    """Each is kept until it is sent (issue 53)."""
    _check_api(crowds.Client(_ANSWERS, receive_bytes=2048))


def test_large_answers_of_the_api_that_nobody_reads() -> None:
    """One of each client fits no memory (issue 53)."""
    _check_api(
        crowds.Client(_LARGE_ANSWERS, receive_bytes=2048),
        service=_service(_BODY_BYTES),
    )


def test_unsent_answers_of_the_api_fit_the_machine() -> None:
    """The system keeps them for the process (issue 53)."""
    client = crowds.Client(_LARGE_ANSWERS, receive_bytes=2048)
    with _control() as (process, port):
        processes.client(port).call(
            'PUT', '/v1/services/stock', _service(60_000)
        )
        with crowds.gathered(port, [client] * _CLIENTS):
            crowds.wait_until_at_rest(process.pid)
            held_mb = crowds.memory_mb(process.pid) + crowds.unsent_mb(port)
            CASE.assertLess(held_mb, _MACHINE_MB)
            fixtures.wait_until(lambda: crowds.is_answered(port, '/readyz'))


def test_large_lines_of_watches_that_nobody_reads() -> None:
    """As above (issue 53)."""
    _check_api(
        crowds.Client(_WATCH, receive_bytes=2048),
        service=_service(_BODY_BYTES),
    )


def test_more_unread_answers_of_the_api_than_descriptors() -> None:
    """None of them gave its place to others (issue 53)."""
    _check_descriptors_of_api(
        crowds.Client(_LARGE_ANSWERS, receive_bytes=2048, awaits_answer=True),
        _service(60_000),
    )


def test_heads_at_the_metrics_address_of_a_ledger() -> None:
    """A ledger that ends loses what only it keeps in memory (issue 45)."""
    with _ledger() as (process, port):
        _check(
            process,
            port,
            [
                crowds.Client(_START + _SHORT_LINES),
                crowds.Client(_START, _SHORT_LINES, 20),
            ],
            lambda: crowds.is_answered(port, '/metrics'),
        )
