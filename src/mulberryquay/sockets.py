"""Listening sockets of the daemons."""

from __future__ import annotations

import typing

from gevent import socket

from mulberryquay import settings

_BACKLOG: typing.Final = 1024


def listen(address: str, *, reuse_port: bool = False) -> typing.Any:
    """Returns a gevent socket listening on a checked ``IP:PORT``.

    ``reuse_port`` lets several processes listen on one port. Raises
    InvalidSettingError for a port that is taken or not allowed.
    """
    host, port = settings.parse_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit it; without it an answer in two parts waits
    # for the peer's delayed acknowledgement, about 40 ms.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if reuse_port:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        raise settings.InvalidSettingError(
            f'listening on {address} failed: {error}; choose another address',
        ) from error
    listener.listen(_BACKLOG)
    return listener


def address_of(setting: str, listener: typing.Any) -> str:
    """Returns where a listener can be reached, its real port included."""
    host = settings.parse_address(setting)[0]
    return f'{host}:{port_of(listener)}'


def port_of(listener: typing.Any) -> int:
    """Returns the port that a socket listens on."""
    return int(listener.getsockname()[1])
