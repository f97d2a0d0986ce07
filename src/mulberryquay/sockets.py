"""Opens the listening sockets of the daemons."""

from __future__ import annotations

import select
import struct
import typing

from gevent import pool, server, socket

from mulberryquay import settings

_BACKLOG: typing.Final = 1024

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
