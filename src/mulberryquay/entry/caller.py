"""Serves the connection of one caller: reads requests, sends answers."""

from __future__ import annotations

import logging
import math
import struct
import typing

from gevent import socket

from mulberryquay.coordination import errors, read_turn, units, wait_limit
from mulberryquay.entry import (
    answers,
    exchange,
    http_heads,
    messages,
    outcomes,
    state,
)

_DISCARD_TIMEOUT_MS: typing.Final = 1000.0
#: How long a stopping entry waits for the first request of a connection.
_FIRST_REQUEST_MS: typing.Final = 500.0

_MAX_DISCARDED_BYTES: typing.Final = 8 * units.MIB

_LOG: typing.Final = logging.getLogger(__name__)
_SO_LINGER_RESET: typing.Final = struct.pack('ii', 1, 0)


@typing.final
class CallerConnection:
    """Serves one connection until either side closes it."""

    def __init__(
        self,
        entry_state: state.EntryState,
        connection: typing.Any,
        *,
        is_peer: bool = False,
    ) -> None:
        """Takes over ``connection``, an accepted gevent socket.

        ``is_peer`` says that another entry opened it.
        """
        self._is_peer = is_peer
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._state = entry_state
        self._socket = connection
        self._reader = messages.RequestReader(
            connection,
            entry_state.header_filter,
            self._start_head_timeout,
        )
        self._is_awaiting_head = False
        #: Whether this entry shut down the read side, which ends the wait
        #: for the next request.
        self._is_read_shut_down = False
        self._has_served = False
        self._accepted_at = entry_state.clock.now()
        #: Whether no request is being served.
        self.is_idle = True
        #: When the idle or head timeout ends; infinite during a request.
        self.deadline = math.inf

    def run(self) -> None:
        """Serves requests in order, then closes the connection."""
        is_graceful = False
        try:
            while self._serve_next():
                if not self._reader.is_between_messages:
                    # The next request is here already, so nothing waits.
                    read_turn.yield_now()
            is_graceful = True
        except (OSError, errors.MulberryquayError):
            is_graceful = False
        finally:
            self._close(is_graceful=is_graceful)

    def expire(self) -> None:
        """Ends the wait for a request after the idle or head timeout."""
        self._is_read_shut_down = True
        self._socket.shutdown(socket.SHUT_RD)

    def close_if_idle(self) -> None:
        """Ends a connection on which no request has begun.

        A new connection has some time left for its first request.
        """
        if not self._has_served:
            age = self._state.clock.now() - self._accepted_at
            if age < _FIRST_REQUEST_MS:
                return
        if self.is_idle and self._reader.is_between_messages:
            self._is_read_shut_down = True
            self._socket.shutdown(socket.SHUT_RD)

    def _serve_next(self) -> bool:
        limits = self._state.routing_table.limits
        self._reader.max_head_bytes = limits.max_head_bytes
        timeout_ms = limits.idle_timeout_ms
        if not self._reader.is_between_messages:
            timeout_ms = limits.head_timeout_ms
        self.deadline = self._state.clock.now() + timeout_ms
        self._socket.settimeout(None)
        self._is_awaiting_head = True
        try:
            head = self._read_head()
        except http_heads.MessageError as error:
            self._refuse_message(error)
            return False
        except (http_heads.CutShortError, OSError):
            if not self._is_read_shut_down:
                raise
            if not self._reader.is_between_messages:
                self._refuse_slow_head()
            return False
        finally:
            self._is_awaiting_head = False
        if head is None:
            return False
        self.deadline = math.inf
        self._socket.settimeout(wait_limit.STALL_TIMEOUT_S)
        self.is_idle = False
        self._has_served = True
        self._state.in_flight += 1
        try:
            return exchange.Exchange(
                self._state,
                self._socket,
                self._reader,
                head,
                is_relayed=self._is_peer,
            ).serve()
        finally:
            self._state.in_flight -= 1
            self.is_idle = True

    def _read_head(self) -> http_heads.RequestHead | None:
        try:
            return self._reader.read_head()
        except OSError:
            if not self._is_read_shut_down:
                raise
        # Shutting down the read side makes a waiting gevent socket raise,
        # although a request may have arrived just before.
        return self._reader.read_head()

    def _start_head_timeout(self) -> None:
        """Starts the head timeout at the first byte of a request."""
        if self._is_awaiting_head:
            limits = self._state.routing_table.limits
            self.deadline = self._state.clock.now() + limits.head_timeout_ms

    def _refuse_slow_head(self) -> None:
        """Answers a request whose head was not complete in time."""
        self._refuse(
            outcomes.not_run(
                outcomes.Reason.REQUEST_TIMEOUT,
                'the head of the request was not complete in time',
            ),
        )

    def _refuse_message(self, error: http_heads.MessageError) -> None:
        """Answers a message that is not a valid request."""
        reason = outcomes.Reason.MALFORMED_REQUEST
        if isinstance(error, http_heads.HeadTooLargeError):
            reason = outcomes.Reason.HEAD_TOO_LARGE
        self._refuse(
            outcomes.not_run(reason, str(error), status=error.http_status),
        )

    def _refuse(self, refusal: outcomes.RefusedError) -> None:
        """Sends an error for a message that has no request record."""
        self._state.metrics.count(
            'mulberryquay_requests_total',
            refusal.outcome.value,
            refusal.reason.value,
        )
        _LOG.info(
            'message refused',
            extra={'reason': refusal.reason.value, 'cause': str(refusal)},
        )
        self._socket.sendall(answers.encode_refusal(None, refusal))

    def _discard_unread_input(self) -> None:
        """Reads input until the caller closes, up to a limit.

        Closing with unread input would send a reset, which may destroy the
        answer before the caller has read it (RFC 9112, section 9.6).
        """
        self._socket.shutdown(socket.SHUT_WR)
        if self._reader.is_between_messages:
            return
        limit = wait_limit.WaitLimit(
            self._state.clock, self._state.clock.now() + _DISCARD_TIMEOUT_MS
        )
        remaining = _MAX_DISCARDED_BYTES
        while remaining > 0:
            limit.apply(self._socket)
            chunk = self._socket.recv(messages.READ_BYTES)
            if not chunk:
                return
            remaining -= len(chunk)

    def _close(self, *, is_graceful: bool) -> None:
        """Closes the connection, with a reset if an answer is incomplete."""
        try:
            if is_graceful:
                self._discard_unread_input()
            else:
                self._socket.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    _SO_LINGER_RESET,
                )
        except OSError as error:
            _LOG.debug(
                'caller had already closed the connection',
                extra={'cause': str(error)},
            )
        self._socket.close()
