"""Tells a platform's load balancer whether this entry is ready."""

from __future__ import annotations

import logging
import typing

from gevent import server

from mulberryquay.coordination import errors
from mulberryquay.entry import http_heads, messages

#: Timeout of each read and write; the connection is then closed.
_IO_TIMEOUT_S: typing.Final = 10.0

_READY: typing.Final = (
    b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\nconnection: close\r\n\r\nready\n'
)
_NOT_READY: typing.Final = (
    b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 10\r\n'
    b'connection: close\r\n\r\nnot-ready\n'
)
_NOT_FOUND: typing.Final = (
    b'HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'
)

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class ReadyServer:
    """Answers one request per connection, without the admin libraries."""

    def __init__(
        self,
        listener: typing.Any,
        path: str,
        is_ready: typing.Callable[[], bool],
    ) -> None:
        """Serves ``path`` on a listening gevent socket."""
        self._path = path.encode()
        self._is_ready = is_ready
        self._server = server.StreamServer(listener, self._serve)

    def start(self) -> None:
        """Starts to serve."""
        self._server.start()

    def stop(self) -> None:
        """Closes the port."""
        self._server.stop(timeout=0)

    def _serve(self, connection: typing.Any, _address: typing.Any) -> None:
        connection.settimeout(_IO_TIMEOUT_S)
        try:
            head = messages.RequestReader(connection).read_head()
            if head is not None:
                http_heads.send_all(connection, self._answer(head))
        except (OSError, errors.MulberryquayError) as error:
            _LOG.debug(
                'readiness request not answered',
                extra={'cause': str(error)},
            )
        finally:
            connection.close()

    def _answer(self, head: http_heads.RequestHead) -> bytes:
        if head.path != self._path:
            return _NOT_FOUND
        return _READY if self._is_ready() else _NOT_READY
