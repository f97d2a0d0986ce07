"""Connection pools for HTTP clients that limit each answer.

A server may send bytes without end, in a head, in the framing of a body or in
the body. urllib3 limits the wait for each read only, so such an answer would
be kept until no memory is left.
"""

from __future__ import annotations

import socket
import time
import typing

import urllib3
from urllib3 import connection, connectionpool

from mulberryquay.coordination import read_turn, units

#: Largest answer, with its head and framing.
MAX_ANSWER_BYTES: typing.Final = units.MAX_BODY_BYTES

#: Longest time from the request to the end of its answer.
MAX_ANSWER_S: typing.Final = 30.0


class AnswerTooLongError(OSError):
    """An answer had too many bytes or took too long; urllib3 wraps it."""


@typing.final
class _LimitedSocket(socket.socket):
    """A connected socket that fails a read beyond the answer's limits."""

    def __init__(self, connected: socket.socket) -> None:
        """Takes over the descriptor of ``connected``."""
        timeout = connected.gettimeout()
        super().__init__(
            connected.family,
            connected.type,
            connected.proto,
            fileno=connected.detach(),
        )
        self.settimeout(timeout)
        self._turn = read_turn.ReadTurn()
        self.begin_answer()

    def begin_answer(self) -> None:
        """Starts counting the bytes and the time of the next answer."""
        self._bytes_left = MAX_ANSWER_BYTES
        self._ends_at = time.monotonic() + MAX_ANSWER_S

    def recv_into(self, *arguments: typing.Any) -> int:
        """Receives as `socket.socket.recv_into`, within the limits."""
        self._turn.begin_read()
        if self._bytes_left < 0 or time.monotonic() > self._ends_at:
            raise AnswerTooLongError(
                f'got an answer of over {MAX_ANSWER_BYTES} bytes or '
                f'{MAX_ANSWER_S:.0f} s',
            )
        received = super().recv_into(*arguments)
        self._turn.end_read(received)
        self._bytes_left -= received
        return received


@typing.final
class _LimitedConnection(connection.HTTPConnection):
    """Limits each answer on a connection."""

    def connect(self) -> None:
        """Connects and limits what is received."""
        super().connect()
        self.sock = _LimitedSocket(self.sock)

    def request(self, *arguments: typing.Any, **options: typing.Any) -> None:
        """Sends a request; the limits hold from now on."""
        if isinstance(self.sock, _LimitedSocket):
            self.sock.begin_answer()
        super().request(*arguments, **options)


@typing.final
class _LimitedConnectionPool(connectionpool.HTTPConnectionPool):
    """A pool of limited connections."""

    ConnectionCls = _LimitedConnection


def new_manager(timeout_s: float | None = None) -> urllib3.PoolManager:
    """Returns a pool manager without retries whose answers are limited.

    ``timeout_s`` is the longest wait for a read.
    """
    manager = urllib3.PoolManager(timeout=timeout_s, retries=False)
    manager.pool_classes_by_scheme = {'http': _LimitedConnectionPool}
    return manager
