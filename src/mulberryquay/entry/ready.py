"""Tells a platform's load balancer whether this entry is ready."""

from __future__ import annotations

import logging
import typing

from gevent import server

from mulberryquay.coordination import clock, errors, wait_limit
from mulberryquay.entry import http_heads, messages

#: Longest time from accepting a connection to reading its request.
REQUEST_TIMEOUT_MS: typing.Final = 10_000.0

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

    def start(self) -> None:
        """Starts to serve."""
        self._server.start()

    def stop(self) -> None:
        """Closes the port."""
        self._server.stop(timeout=0)

    def _serve(self, connection: typing.Any, _address: typing.Any) -> None:
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
            connection.close()

    def _answer(self, head: http_heads.RequestHead) -> bytes:
        if head.path != self._path:
            return _NOT_FOUND
        return _READY if self._is_ready() else _NOT_READY
