"""Crowds of hostile clients, and what a process holds meanwhile."""

from __future__ import annotations

import contextlib
import pathlib
import resource
import typing
import unittest
from http import HTTPStatus

import gevent
import psutil
from gevent import socket

from mulberryquay.entry import http_heads
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_KIB: typing.Final = 1024
_MIB: typing.Final = 1024 * _KIB

#: Columns and values of /proc/net/tcp.
_LOCAL: typing.Final = 1
_STATE: typing.Final = 3
_QUEUES: typing.Final = 4
_SEND_QUEUE: typing.Final = 0
_RECEIVE_QUEUE: typing.Final = 1
_LISTENS: typing.Final = '0A'
_HEX: typing.Final = 16

#: Time between two measurements of what a process holds.
_SAMPLE_S: typing.Final = 0.1

_PIECE_BYTES: typing.Final = 16_384

#: Pause of a client that sends without end, and longest time for one send.
_PAUSE_S: typing.Final = 0.01
_SEND_TIMEOUT_S: typing.Final = 2.0

#: A process rests if it used less than this part of a core for so long.
_REST_LOAD: typing.Final = 0.1
_REST_S: typing.Final = 0.5


class Client(typing.NamedTuple):
    """What one client of a crowd sends on its connection."""

    #: Sent first, in pieces.
    beginning: bytes
    #: Sent again and again afterwards; empty for a client that stops.
    repeated: bytes = b''
    #: How often ``repeated`` is sent.
    times: int = 0
    #: Size of its receive buffer in bytes, 0 for the system's; a client that
    #: reads nothing takes about so much of its answers.
    receive_bytes: int = 0
    #: Whether the next client comes only after the first bytes of its answer,
    #: or the end of its connection.
    awaits_answer: bool = False


def peak_memory_mb(pid: int) -> float:
    """Returns the largest resident memory of a process so far."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) / _KIB
    raise AssertionError(f'process {pid} has ended')


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process now, 0 if it has ended."""
    try:
        return int(psutil.Process(pid).memory_info().rss) / _MIB
    except psutil.Error:
        return 0


def unread_mb(port: int) -> float:
    """Returns what has arrived at a local port and was not read yet."""
    return _queued_mb(port, _RECEIVE_QUEUE)


def unsent_mb(port: int) -> float:
    """Returns what a local port has sent and no peer has taken yet."""
    return _queued_mb(port, _SEND_QUEUE)


def _queued_mb(port: int, queue: int) -> float:
    lines = pathlib.Path('/proc/net/tcp').read_text().splitlines()
    rows = [line.split() for line in lines[1:]]
    return (
        sum(
            int(row[_QUEUES].split(':')[queue], _HEX)
            for row in rows
            if row[_STATE] != _LISTENS
            and int(row[_LOCAL].partition(':')[2], _HEX) == port
        )
        / _MIB
    )


class Held:
    """What a process and the queues of its port hold together."""

    def __init__(self, pid: int, port: int) -> None:
        """Measures nothing yet."""
        self._pid = pid
        self._port = port
        #: The most at one moment so far.
        self.peak_mb = 0.0

    def measure(self) -> None:
        """Measures once."""
        held_mb = memory_mb(self._pid) + unread_mb(self._port)
        self.peak_mb = max(self.peak_mb, held_mb)

    def watch(self) -> None:
        """Measures again and again, until the task is killed."""
        while True:
            self.measure()
            gevent.sleep(_SAMPLE_S)


@contextlib.contextmanager
def watched(pid: int, port: int) -> typing.Iterator[Held]:
    """Yields what a process holds, measured until the end."""
    held = Held(pid, port)
    task = gevent.spawn(held.watch)
    try:
        yield held
    finally:
        task.kill()


def open_descriptors(pid: int) -> int:
    """Returns the number of open descriptors of a process."""
    return sum(1 for _ in pathlib.Path(f'/proc/{pid}/fd').iterdir())


def wait_until_at_rest(pid: int) -> None:
    """Returns once a process has read what it takes, or has ended."""
    process = psutil.Process(pid)
    used = -1.0
    while process.is_running() and process.status() != psutil.STATUS_ZOMBIE:
        last_used, used = used, sum(process.cpu_times()[:2])
        if used - last_used <= _REST_S * _REST_LOAD:
            return
        gevent.sleep(_REST_S)


def is_answered(port: int, path: str) -> bool:
    """Whether a new client gets the answer to an ordinary request."""
    with contextlib.suppress(OSError, http_heads.CutShortError):
        answer = fixtures.send(port, fixtures.request_bytes(path))
        return answer.status == HTTPStatus.OK
    return False


def is_message_answered(port: int, message: bytes) -> bool:
    """Whether a new stream gets the answer to a message."""
    with contextlib.suppress(OSError):
        address = ('127.0.0.1', port)
        with socket.create_connection(address, fixtures.TIMEOUT_S) as stream:
            stream.sendall(message)
            return bool(stream.recv(1))
    return False


def check(
    process: typing.Any,
    port: int,
    crowd: typing.Sequence[Client],
    asks: typing.Callable[[], bool],
    machine_mb: float,
) -> None:
    """Checks that a process lives and stays below the memory of its machine.

    ``asks`` returns whether an ordinary request is answered. Beside the crowd
    and after it, that has to become so.
    """
    with watched(process.pid, port) as held:
        with gathered(port, crowd):
            wait_until_at_rest(process.pid)
            _check_process(process, held, machine_mb)
            fixtures.wait_until(asks)
        fixtures.wait_until(asks)
        _check_process(process, held, machine_mb)


def _check_process(process: typing.Any, held: Held, machine_mb: float) -> None:
    CASE.assertIsNone(process.poll(), 'the process has ended')
    held.measure()
    CASE.assertLess(peak_memory_mb(process.pid), machine_mb)
    CASE.assertLess(held.peak_mb, machine_mb)


@contextlib.contextmanager
def descriptor_limit(
    count: int,
) -> typing.Iterator[typing.Callable[[], None]]:
    """Limits the descriptors of processes that are started from now on.

    Yields a function that lifts the limit for others than these.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

    def lift_limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield lift_limit
    finally:
        lift_limit()


@contextlib.contextmanager
def gathered(
    port: int, clients: typing.Sequence[Client]
) -> typing.Iterator[list[typing.Any]]:
    """Yields once each client has sent all that was taken from it.

    Their connections stay open until the end.
    """
    with contextlib.ExitStack() as stack:
        connections = [
            stack.enter_context(contextlib.closing(_join(port, client)))
            for client in clients
        ]
        gevent.joinall(
            [
                gevent.spawn(_send, connection, client)
                for connection, client in zip(connections, clients, strict=True)
                if not client.awaits_answer
            ],
            raise_error=True,
        )
        yield connections


def _join(port: int, client: Client) -> typing.Any:
    connection = _connect(port, client)
    if client.awaits_answer:
        with contextlib.suppress(ConnectionError):
            connection.sendall(client.beginning)
            connection.recv(1)
    return connection


def _connect(port: int, client: Client) -> typing.Any:
    connection = socket.socket()
    connection.settimeout(fixtures.TIMEOUT_S)
    if client.receive_bytes:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, client.receive_bytes
        )
    connection.connect(('127.0.0.1', port))
    return connection


def _send(connection: typing.Any, client: Client) -> None:
    """Sends until the client is done, or the server takes nothing more."""
    connection.settimeout(_SEND_TIMEOUT_S)
    with contextlib.suppress(OSError):
        for start in range(0, len(client.beginning), _PIECE_BYTES):
            connection.sendall(client.beginning[start : start + _PIECE_BYTES])
            gevent.sleep(0)
        for _ in range(client.times):
            connection.sendall(client.repeated)
            gevent.sleep(_PAUSE_S)
