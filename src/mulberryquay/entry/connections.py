"""Connections to targets: opened at a limited rate, checked before reuse."""

from __future__ import annotations

import collections
import errno
import re
import select
import typing

import gevent
from gevent import lock, socket

from mulberryquay.coordination import clock, errors
from mulberryquay.entry import (
    caller_limits,
    header_names,
    http_heads,
    messages,
)

#: Minimum time between two new connections to a target, which needs about
#: this long for each.
OPEN_INTERVAL_MS: typing.Final = 1.0

#: An idle connection is not reused after this long.
MAX_IDLE_MS: typing.Final = 20_000

#: Fraction of a target's keep-alive timeout for which a connection is reused,
#: so that no request is sent while the target closes it.
_KEEP_ALIVE_FRACTION: typing.Final = 0.7
_KEEP_ALIVE_TIMEOUT: typing.Final = re.compile(rb'timeout=(\d{1,6})')

#: Requests of a connection whose late answers are recognized.
_KEPT_IDS: typing.Final = 8

#: Errors of a send after which the end of the connection still ends an answer:
#: the target ended its side in order before it reset the other one, or the
#: send took too long, which has no number.
_UNBROKEN_ERRORS: typing.Final = frozenset((errno.EPIPE, None))

#: Longest wait for a new connection, including the turn to open it.
CONNECT_TIMEOUT_MS: typing.Final = 1000.0


@typing.final
class ConnectFailedError(errors.MulberryquayError):
    """No connection to the target could be opened."""

    code = 'connect-failed'


@typing.final
class ConnectionBudgetError(errors.MulberryquayError):
    """All connections that this entry may open to the target are in use."""

    code = 'connection-budget'


@typing.final
class TargetConnection:
    """One connection to a target."""

    __slots__ = (
        '_poll',
        'has_carried_probe',
        'idle_since',
        'max_idle_ms',
        'reader',
        'sent_ids',
        'socket',
    )

    def __init__(
        self,
        connected_socket: typing.Any,
        header_filter: header_names.HeaderFilter = header_names.DEFAULT_FILTER,
    ) -> None:
        """Wraps a connected gevent socket."""
        self.socket = connected_socket
        self.reader = messages.ResponseReader(connected_socket, header_filter)
        self.idle_since = 0.0
        #: Whether an answer without a request id was due on it.
        self.has_carried_probe = False
        #: Ids of the last requests sent on it, to which answers may be late.
        self.sent_ids: collections.deque[bytes] = collections.deque(
            maxlen=_KEPT_IDS
        )
        #: How long it may be idle and still be reused.
        self.max_idle_ms: float = MAX_IDLE_MS
        self._poll = select.poll()
        self._poll.register(connected_socket.fileno(), select.POLLIN)

    @property
    def is_first_use(self) -> bool:
        """Whether it carried no probe and at most one request so far."""
        return len(self.sent_ids) <= 1 and not self.has_carried_probe

    def send_body(self, part: bytes) -> None:
        """Sends a part of a body while another task may read the answer.

        Raises OSError.
        """
        try:
            self.socket.sendall(part)
        except OSError as error:
            if error.errno not in _UNBROKEN_ERRORS:
                self.reader.is_broken = True
            raise

    def interrupt(self) -> None:
        """Shuts the socket down, which wakes a task that waits on it."""
        self.reader.is_broken = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The target closed it first, which wakes the task as well.
            return

    def is_usable(self) -> bool:
        """Whether no data is pending and the target has not closed."""
        if not self.reader.is_between_messages:
            return False
        return not self._poll.poll(0)


@typing.final
class ConnectionPool:
    """This entry's connections to one target."""

    def __init__(
        self,
        address: tuple[str, int],
        time_source: clock.Clock,
        header_filter: header_names.HeaderFilter = header_names.DEFAULT_FILTER,
        all_open: caller_limits.OpenConnections | None = None,
    ) -> None:
        """Opens nothing yet; answers are read with ``header_filter``.

        ``all_open`` counts the connections of all pools.
        """
        self._header_filter = header_filter
        self._all_open = all_open or caller_limits.OpenConnections()
        #: Whether the target puts the id of the request on its answers, so
        #: that a late second copy of an answer is recognized.
        self.echoes_ids = False
        #: Where the target listens.
        self.address = address
        self._clock = time_source
        self._idle: list[TargetConnection] = []
        self._open_count = 0
        self._open_lock = lock.BoundedSemaphore(1)
        self._last_opened_at = -OPEN_INTERVAL_MS

    @property
    def open_count(self) -> int:
        """Connections that are open, idle or in use."""
        return self._open_count

    @property
    def has_idle(self) -> bool:
        """Whether a connection is open and not in use."""
        return bool(self._idle)

    def take(
        self,
        *,
        limit: int,
        timeout: float = CONNECT_TIMEOUT_MS,
        is_for_probe: bool = False,
    ) -> TargetConnection:
        """Returns a usable connection, opening one if none is idle.

        Raises ConnectFailedError, also after ``timeout`` ms, and
        ConnectionBudgetError if ``limit`` connections are open already.
        """
        connection = self._take_idle(is_for_probe=is_for_probe)
        if connection is None:
            self._make_room(limit)
            connection = self._open(min(timeout, CONNECT_TIMEOUT_MS))
        connection.has_carried_probe |= is_for_probe
        return connection

    def _take_idle(self, *, is_for_probe: bool) -> TargetConnection | None:
        """Returns the connection that was used last and fits, if any."""
        now = self._clock.now()
        unfit = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if (
                now - connection.idle_since > connection.max_idle_ms
                or not connection.is_usable()
            ):
                self.discard(connection)
            elif self._fits(connection, is_for_probe=is_for_probe):
                found = connection
                self._all_open.remove_idle(connection)
            else:
                unfit.append(connection)
        self._idle += reversed(unfit)
        return found

    def _fits(
        self, connection: TargetConnection, *, is_for_probe: bool
    ) -> bool:
        """Whether an answer on the connection can be told from others.

        Without request ids, a late copy of a probe's answer looks like the
        answer to a request.
        """
        return (
            is_for_probe or self.echoes_ids or not connection.has_carried_probe
        )

    def _make_room(self, limit: int) -> None:
        """Closes an idle connection if ``limit`` are open.

        Raises ConnectionBudgetError if none is idle.
        """
        if self._open_count < limit:
            return
        if not self._idle:
            raise ConnectionBudgetError(
                f'all {limit} connections to the target are in use',
            )
        self.discard(self._idle.pop(0))

    def give_back(
        self, connection: TargetConnection, head: http_heads.ResponseHead
    ) -> None:
        """Keeps a connection whose answer, with ``head``, was read."""
        connection.idle_since = self._clock.now()
        connection.max_idle_ms = _idle_limit(head)
        if connection.socket.timeout is not None:
            connection.socket.settimeout(None)
        self._idle.append(connection)
        self._all_open.add_idle(connection, self)

    def discard(self, connection: TargetConnection) -> None:
        """Closes a connection."""
        connection.socket.close()
        connection.reader.close()
        self._all_open.remove_idle(connection)
        self._count(-1)

    def drop_idle(self, connection: TargetConnection) -> None:
        """Closes a connection that is not in use, and forgets it."""
        self._idle.remove(connection)
        self.discard(connection)

    def close_idle(self) -> None:
        """Closes the connections that are not in use."""
        while self._idle:
            self.discard(self._idle.pop())

    def _open(self, timeout: float) -> TargetConnection:
        if not self._all_open.make_room():
            raise ConnectionBudgetError(
                'all connections that this entry may open are in use',
            )
        self._count(1)
        try:
            with gevent.Timeout(timeout / clock.MS_PER_SECOND, TimeoutError):
                connected_socket = self._connect()
        except (OSError, ValueError, OverflowError) as error:
            # Also an address that no socket takes.
            self._count(-1)
            raise ConnectFailedError(
                f'cannot connect to the target: {error}'
            ) from error
        except BaseException:
            self._count(-1)
            raise
        connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connected_socket.settimeout(None)
        return TargetConnection(connected_socket, self._header_filter)

    def _count(self, change: int) -> None:
        self._open_count += change
        self._all_open.to_targets += change

    def _connect(self) -> typing.Any:
        """Connects once it is this task's turn; raises OSError."""
        with self._open_lock:
            self._wait_for_open_interval()
            return socket.create_connection(self.address)

    def _wait_for_open_interval(self) -> None:
        wait = self._last_opened_at + OPEN_INTERVAL_MS - self._clock.now()
        if wait > 0:
            self._clock.sleep(wait)
        self._last_opened_at = self._clock.now()


def _idle_limit(head: http_heads.ResponseHead) -> float:
    """Returns for how long a connection may be idle, in ms."""
    text = head.find(b'keep-alive')
    found = None if text is None else _KEEP_ALIVE_TIMEOUT.search(text)
    if found is None:
        return MAX_IDLE_MS
    keep_alive_ms = int(found.group(1)) * clock.MS_PER_SECOND
    return min(MAX_IDLE_MS, keep_alive_ms * _KEEP_ALIVE_FRACTION)
