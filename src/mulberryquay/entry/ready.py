"""Tells a platform's load balancer whether this entry is ready."""

from __future__ import annotations

import contextlib
import logging
import typing

from gevent import server, socket

from mulberryquay.coordination import clock, errors, wait_limit
from mulberryquay.entry import http_heads, messages

#: Longest time from accepting a connection to reading its request.
REQUEST_TIMEOUT_MS: typing.Final = 10_000.0

#: Connections whose request is awaited; above it the oldest one is closed.
MAX_CONNECTIONS: typing.Final = 32

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
        time_source: clock.Clock,
    ) -> None:
        """Serves ``path`` on a listening gevent socket."""
        self._clock = time_source
        self._path = path.encode()
        self._is_ready = is_ready
        self._server = server.StreamServer(listener, self._serve)
        self._server.max_accept = 1
        #: In the order of their accepting.
        self._connections: dict[typing.Any, None] = {}

    def start(self) -> None:
        """Starts to serve."""
        self._server.start()

    def stop(self) -> None:
        """Closes the port."""
        self._server.stop(timeout=0)

    def _serve(self, connection: typing.Any, _address: typing.Any) -> None:
        self._connections[connection] = None
        self._close_oldest()
        reader = messages.RequestReader(connection)
        reader.wait_limit = wait_limit.WaitLimit(
            self._clock, self._clock.now() + REQUEST_TIMEOUT_MS
        )
        try:
            head = reader.read_head()
            if head is not None:
                http_heads.send_all(connection, self._answer(head))
        except (OSError, errors.MulberryquayError) as error:
            _LOG.debug(
                'readiness request not answered',
                extra={'cause': str(error)},
            )
        finally:
            self._connections.pop(connection, None)
            connection.close()

    def _close_oldest(self) -> None:
        if len(self._connections) <= MAX_CONNECTIONS:
            return
        oldest = next(iter(self._connections))
        self._connections.pop(oldest)
        with contextlib.suppress(OSError):
            oldest.shutdown(socket.SHUT_RDWR)

    def _answer(self, head: http_heads.RequestHead) -> bytes:
        if head.path != self._path:
            return _NOT_FOUND
        return _READY if self._is_ready() else _NOT_READY
