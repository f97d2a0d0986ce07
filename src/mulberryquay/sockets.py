"""Opens the listening sockets of the daemons."""

from __future__ import annotations

import select
import struct
import typing

from gevent import pool, server, socket

from mulberryquay import settings

_BACKLOG: typing.Final = 1024

#: Receive buffers of accepted connections, in bytes: of each one, and of one
#: that is read as fast as it sends.
_RECEIVE_BYTES: typing.Final = 8192
_WIDE_RECEIVE_BYTES: typing.Final = 32768

#: Send buffer of a connection whose peer may read nothing, in bytes.
_SEND_BYTES: typing.Final = 32768

#: The system keeps up to twice the size of the buffer of what is not read.
_UNREAD_FACTOR: typing.Final = 2

#: What the system keeps of an accepted connection that is not read, in bytes,
#: and what it keeps more of a widened one.
UNREAD_BYTES: typing.Final = _UNREAD_FACTOR * _RECEIVE_BYTES
WIDENED_BYTES: typing.Final = _UNREAD_FACTOR * (
    _WIDE_RECEIVE_BYTES - _RECEIVE_BYTES
)

#: SO_LINGER with a timeout of 0 s: closing the socket sends a reset.
_LINGER_ZERO: typing.Final = struct.pack('ii', 1, 0)
_NO_LINGER: typing.Final = struct.pack('ii', 0, 0)


@typing.final
class DrainingServer(server.StreamServer):
    """Serves each connection in a task; closing cuts off none of them."""

    def __init__(
        self,
        listener: typing.Any,
        handle: typing.Callable[[typing.Any, typing.Any], None],
    ) -> None:
        """Serves the connections of ``listener`` with ``handle``."""
        super().__init__(listener, handle, spawn=pool.Pool())

    @property
    def is_busy(self) -> bool:
        """Whether a task of an accepted connection runs or is about to."""
        return bool(len(self.pool))

    def close_port(self) -> None:
        """Accepts the connections that wait in the queue, then closes.

        Closing the port resets those that were not accepted. May be called
        again.
        """
        if self.closed:
            return
        self.stop_accepting()
        # From now on a new connection waits in the peer's system.
        self.socket.listen(0)
        accepted = self.do_read()
        while accepted is not None:
            self.do_handle(*accepted)
            accepted = self.do_read()
        self.close()


def listen(address: str, *, reuse_port: bool = False) -> typing.Any:
    """Returns a gevent socket that listens on a validated ``IP:PORT``.

    ``reuse_port`` lets several processes listen on one port. Raises
    InvalidSettingError if the socket cannot be bound, for example because
    the port is in use or privileged.
    """
    host, port = settings.parse_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit TCP_NODELAY. Without it, an answer written in
    # two parts waits about 40 ms for the peer's delayed ACK.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # Accepted sockets inherit the size of the buffer.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
    if reuse_port:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        raise settings.InvalidSettingError(
            f'cannot listen on {address}: {error}; choose another address',
        ) from error
    listener.listen(_BACKLOG)
    return listener


def widen(connection: typing.Any) -> None:
    """Lets the system keep more of a connection that is read at once.

    A peer far away sends a buffer each round trip.
    """
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _WIDE_RECEIVE_BYTES
    )


def bound_unsent(listener: typing.Any) -> None:
    """Lets the system keep less of what peers do not take.

    For connections that are accepted from now on; without a bound, each may
    hold some megabytes.
    """
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BYTES)


def bind_datagrams(address: str) -> typing.Any:
    """Returns a gevent socket that receives datagrams on ``IP:PORT``.

    Raises InvalidSettingError if it cannot be bound.
    """
    host, port = settings.parse_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    receiver = socket.socket(family, socket.SOCK_DGRAM)
    try:
        receiver.bind((host, port))
    except OSError as error:
        raise settings.InvalidSettingError(
            f'cannot receive on {address}: {error}; choose another address',
        ) from error
    return receiver


def set_reset_on_close(connection: typing.Any, *, is_reset: bool) -> None:
    """Sets whether the end of a socket resets the connection.

    It does so too if the process is killed. Raises OSError.
    """
    connection.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_LINGER,
        _LINGER_ZERO if is_reset else _NO_LINGER,
    )


def is_closed_by_peer(connection: typing.Any) -> bool:
    """Whether the peer has closed a connection, or its side of it."""
    poll = select.poll()
    # Not POLLIN: bytes that were not read may come before the end.
    poll.register(connection.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def address_of(configured_address: str, listener: typing.Any) -> str:
    """Returns the address of a listener with the port it is bound to."""
    host = settings.parse_address(configured_address)[0]
    return f'{host}:{port_of(listener)}'


def port_of(listener: typing.Any) -> int:
    """Returns the port that a socket listens on."""
    return int(listener.getsockname()[1])
