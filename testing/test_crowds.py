"""Crowds of clients that nobody controls, against processes of their own.

Each test bounds what the process holds and checks that it answers an ordinary
request afterwards; none depends on the speed of the machine.
"""

from __future__ import annotations

import contextlib
import os
import typing
import unittest
from unittest import mock

from mulberryquay.entry import http_heads
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

_START: typing.Final = b'POST /stock/x HTTP/1.1\r\nHost: t\r\n'
_SHORT_LINE: typing.Final = b'a:b\r\n'
_ODD_LINES: typing.Final = (
    b'te:\r\n',
    b"!#$%&'*+-.^_`|~:\t\r\n",
    b'connection:\xff\r\n',
    b'host:\r\n',
)

#: Settings that code without them ignores.
_ENVIRONMENT: typing.Final = {'MULBERRYQUAY_MEMORY_MB': str(_MACHINE_MB)}

Ask = typing.Callable[[], bool]


def _lines(lines: typing.Sequence[bytes], size: int) -> bytes:
    """Returns whole header lines of about ``size`` bytes in all."""
    block = b''.join(lines)
    return block * (size // len(block))


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
        fixtures.wait_until(lambda: _is_answered(entry.port, '/stock/x'))
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
        fixtures.wait_until(lambda: _is_answered(port, '/readyz'))
        yield process, port


@contextlib.contextmanager
def _ledger() -> typing.Iterator[tuple[typing.Any, int]]:
    """Yields a ledger and the port of its metrics."""
    with (
        fixtures.folder() as folder,
        mock.patch.dict(os.environ, _ENVIRONMENT),
        fixtures.process(
            'ledger',
            f'--data_folder={folder}',
            '--listen=127.0.0.1:0',
            '--admin_listen=127.0.0.1:0',
        ) as (process, line),
    ):
        yield process, fixtures.parse_ports(line)[-1]


def _is_answered(port: int, path: str) -> bool:
    with contextlib.suppress(OSError, http_heads.CutShortError):
        answer = fixtures.send(port, fixtures.request_bytes(path))
        return answer.status == 200
    return False


def _check_entry(*clients: crowds.Client) -> None:
    """Checks an entry that meets a crowd of equal parts of ``clients``."""
    with _entry() as entry:
        _check(
            entry.process,
            entry.port,
            clients,
            lambda: _is_answered(entry.port, '/stock/x'),
        )


def _check_descriptors_of_api(beginning: bytes) -> None:
    """Checks a control host whose API meets more clients than it may open."""
    with (
        crowds.descriptor_limit(_DESCRIPTORS) as lift_limit,
        _control() as (process, port),
    ):
        lift_limit()
        _check(
            process,
            port,
            [crowds.Client(beginning)],
            lambda: _is_answered(port, '/readyz'),
        )
        CASE.assertLess(crowds.open_descriptors(process.pid), _DESCRIPTORS)


def _check_api(*clients: crowds.Client) -> None:
    """Checks a control host whose API meets a crowd."""
    with _control() as (process, port):
        _check(process, port, clients, lambda: _is_answered(port, '/readyz'))


def _check(
    process: typing.Any,
    port: int,
    clients: typing.Sequence[crowds.Client],
    is_answered: Ask,
) -> None:
    crowd = list(clients) * (_CLIENTS // len(clients))
    with crowds.gathered(port, crowd):
        crowds.wait_until_at_rest(process.pid)
        _check_process(process)
        fixtures.wait_until(is_answered)
    fixtures.wait_until(is_answered)
    _check_process(process)


def _check_process(process: typing.Any) -> None:
    CASE.assertIsNone(process.poll(), 'the process has ended')
    CASE.assertLess(crowds.peak_memory_mb(process.pid), _MACHINE_MB)


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
            lambda: _is_answered(entry.port, '/stock/x'),
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
            lambda: _is_answered(entry.admin_port, '/metrics'),
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


def test_more_connections_to_the_api_than_descriptors() -> None:
    """Without one left, neither operators nor targets get in (issue 45)."""
    _check_descriptors_of_api(b'')


def test_more_unfinished_requests_to_the_api_than_descriptors() -> None:
    """As above; each began a request (issue 45)."""
    _check_descriptors_of_api(
        b'PUT /v1/services/stock HTTP/1.1\r\nHost: t\r\n'
        b'Content-Length: 9\r\n\r\n'
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
            lambda: _is_answered(port, '/metrics'),
        )
