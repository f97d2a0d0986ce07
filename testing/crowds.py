"""Crowds of hostile clients, and what a process holds meanwhile."""

from __future__ import annotations

import contextlib
import pathlib
import resource
import typing

import gevent
import psutil
from gevent import socket

from testing import fixtures

_KIB: typing.Final = 1024
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


def peak_memory_mb(pid: int) -> float:
    """Returns the largest resident memory of a process so far."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) / _KIB
    raise AssertionError(f'process {pid} has ended')


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
            stack.enter_context(
                contextlib.closing(
                    socket.create_connection(
                        ('127.0.0.1', port), fixtures.TIMEOUT_S
                    )
                )
            )
            for _ in clients
        ]
        gevent.joinall(
            [
                gevent.spawn(_send, connection, client)
                for connection, client in zip(connections, clients, strict=True)
            ],
            raise_error=True,
        )
        yield connections


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
