"""The input of a connection to an API server, which its client may stretch."""

from __future__ import annotations

import contextlib
import io
import typing

import gevent
from gevent import socket

from mulberryquay import api_load, sockets
from mulberryquay.coordination import (
    clock,
    errors,
    read_turn,
    units,
    wait_limit,
)

#: Bytes read from one connection before other tasks run; parsing them in
#: Python takes some milliseconds at most.
TURN_BYTES: typing.Final = 8192

#: Longest time from the first byte of a request to its last one.
REQUEST_TIMEOUT_MS: typing.Final = 30_000.0

#: Limit of the head, the framing and an unread body of one request.
_MAX_OVERHEAD_BYTES: typing.Final = units.MIB


@typing.final
class SlowRequestError(errors.MulberryquayError, OSError, ValueError):
    """A request did not arrive in time.

    pywsgi expects a ValueError while it reads a head, else an OSError.
    """

    code = 'request-timeout'
    http_status = 408


@typing.final
class BoundedInput(io.RawIOBase):
    """Reads a connection in turns; limits each request in bytes and time."""

    def __init__(self, connection: typing.Any, load: api_load.ApiLoad) -> None:
        super().__init__()
        self._socket = connection
        self._load = load
        self._turn = read_turn.ReadTurn(TURN_BYTES)
        self._remaining = _MAX_OVERHEAD_BYTES
        self._clock = clock.Clock()
        #: Whether a request did not arrive whole, so that the connection can
        #: carry no other one.
        self.has_ended = False
        #: Sends an answer without end, if any.
        self._stream_task: gevent.Greenlet | None = None
        self._is_sending = False
        #: Set by the first byte of a request.
        self._wait_limit: wait_limit.WaitLimit | None = None

    @property
    def is_closed_by_peer(self) -> bool:
        """Whether the peer sends nothing more on the connection."""
        return sockets.is_closed_by_peer(self._socket)

    def begin_request(self) -> None:
        """Starts the limits of the next request and lets other tasks run."""
        self._remaining = _MAX_OVERHEAD_BYTES
        self._wait_limit = None
        self._load.begin_wait(self)
        read_turn.yield_now()

    def begin_stream(self) -> None:
        """The answer has no end from now on, so it may end for others."""
        self._stream_task = gevent.getcurrent()
        self._load.begin_wait(self)

    @contextlib.contextmanager
    def sending(self, size: int) -> typing.Iterator[None]:
        """Lets the connection give way while its peer does not read."""
        self._load.begin_send(self, size)
        self._is_sending = True
        if self._stream_task is None:
            self._load.begin_wait(self)
        try:
            yield
        finally:
            if self._stream_task is None:
                self._load.end_wait(self)
            self._is_sending = False
            self._load.release(self)

    def give_way(self) -> None:
        """Ends the wait for the peer, so that the connection is closed."""
        self.has_ended = True
        if self._stream_task is not None:
            gevent.kill(self._stream_task)
            return
        with contextlib.suppress(OSError):
            if self._is_sending:
                # The system would keep what was not sent for minutes.
                sockets.set_reset_on_close(self._socket, is_reset=True)
                self._socket.shutdown(socket.SHUT_RDWR)
            else:
                self._socket.shutdown(socket.SHUT_RD)

    def end_wait(self) -> None:
        """The head of a request has been read."""
        self._load.end_wait(self)

    def end_request(self) -> None:
        """The request has been answered."""
        self._stream_task = None
        self._load.release(self)

    def read_body(self, body: typing.Any, max_bytes: int) -> bytes:
        """Returns at most ``max_bytes`` of a body; counts what it holds.

        Raises ApiBusyError, SlowRequestError and OSError.
        """
        parts = []
        size = 0
        self._load.begin_wait(self)
        try:
            while size < max_bytes:
                part = body.read(min(TURN_BYTES, max_bytes - size))
                if not part:
                    break
                parts.append(part)
                size += len(part)
                if size > api_load.SMALL_BODY_BYTES:
                    self._load.grow(self, len(part))
        except api_load.ApiBusyError:
            self.has_ended = True
            parts.clear()
            raise
        finally:
            self._load.end_wait(self)
        return b''.join(parts)

    def allow(self, body_bytes: int) -> None:
        """Raises the limit of this request for a body that will be read."""
        self._remaining += body_bytes

    def readable(self) -> bool:
        """Whether the stream can be read; always true."""
        return True

    def readinto(self, buffer: typing.Any) -> int:
        """Reads some bytes.

        Raises RequestTooLargeError, SlowRequestError and OSError.
        """
        self._check_may_go_on()
        if self._remaining <= 0:
            raise api_load.RequestTooLargeError(
                'got more bytes than a request of this kind may have',
            )
        self._turn.begin_read()
        size = self._receive_into(buffer)
        self._check_may_go_on()
        self._turn.end_read(size)
        self._remaining -= size
        return size

    def _check_may_go_on(self) -> None:
        if self.has_ended:
            raise api_load.ApiBusyError(
                'the connection gave way to others while the request was not '
                'complete; it was not run, try again later',
            )

    def _receive_into(self, buffer: typing.Any) -> int:
        try:
            if self._wait_limit is not None:
                self._wait_limit.apply(self._socket)
            size = int(self._socket.recv_into(buffer))
        except TimeoutError as error:
            self.has_ended = True
            raise SlowRequestError(
                'the request did not end within '
                f'{REQUEST_TIMEOUT_MS} ms of its first byte',
            ) from error
        except OSError:
            # Giving way ends the wait like this.
            self._check_may_go_on()
            raise
        finally:
            self._socket.settimeout(None)
        if self._wait_limit is None:
            self._wait_limit = wait_limit.WaitLimit(
                self._clock, self._clock.now() + REQUEST_TIMEOUT_MS
            )
        return size
