"""Serves the connection of one caller: reads requests, sends answers.

One task reads the requests and starts a task for each. A caller may send
requests before earlier ones are answered; they run side by side if they are
idempotent, and are answered in order.
"""

from __future__ import annotations

import contextlib
import logging
import math
import select
import typing

import gevent
from gevent import event, socket

from mulberryquay import sockets
from mulberryquay.coordination import (
    errors,
    memory_account,
    read_turn,
    units,
    wait_limit,
)
from mulberryquay.entry import (
    answer_row,
    answers,
    caller_limits,
    caller_memory,
    exchange,
    http_heads,
    messages,
    outcomes,
    request_body,
    state,
)

_DISCARD_TIMEOUT_MS: typing.Final = 1000.0

#: How long a stopping entry waits for the first request of a connection.
_FIRST_REQUEST_MS: typing.Final = 500.0

_MAX_DISCARDED_BYTES: typing.Final = 8 * units.MIB

#: Flag of an I/O watcher: the socket can be read.
_READABLE: typing.Final = 1

_LOG: typing.Final = logging.getLogger(__name__)


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
        connection.settimeout(wait_limit.STALL_TIMEOUT_S)
        self._state = entry_state
        self._socket = connection
        self._reader = messages.RequestReader(
            connection,
            entry_state.header_filter,
            self._start_head_timeout,
        )
        #: Set when bytes arrive, a request leaves the row, or the wait for
        #: the next request must end.
        self._woken = event.Event()
        self._row = answer_row.AnswerRow(self._woken.set)
        self._input_watcher = gevent.get_hub().loop.io(
            connection.fileno(), _READABLE
        )
        self._poll = select.poll()
        self._poll.register(connection.fileno(), select.POLLIN)
        #: Whether to end once no more bytes have arrived.
        self._is_ending = False
        #: Whether to close without waiting for the caller's end.
        self._makes_place = False
        #: Those that this one belongs to.
        self._connections = (
            entry_state.connections.peers
            if is_peer
            else entry_state.connections.callers
        )
        self._memory = caller_memory.ConnectionMemory(
            entry_state, self, connection, self._reader
        )
        #: The body that is being read, if any.
        self._body: request_body.RequestBody | None = None
        #: Whether an answer could not be sent to its end.
        self._is_broken = False
        self._has_served = False
        self._accepted_at = entry_state.clock.now()
        self._head_deadline = math.inf
        #: When the idle or head timeout ends; infinite during a request.
        self.deadline = math.inf

    @property
    def is_idle(self) -> bool:
        """Whether no request is being served or was read in part."""
        return not self._row and self._reader.is_between_messages

    @property
    def part(self) -> memory_account.Part:
        """What the connection holds in memory."""
        return self._memory.part

    @property
    def waits_for_peer(self) -> bool:
        """Whether only the caller can end the wait."""
        if self._body is not None or self._row.is_sending:
            return True
        if self._is_peer and self._reader.is_between_messages:
            # A request of the other entry may be on its way.
            return False
        return not self._row

    def give_way(self) -> None:
        """Ends the wait for the caller, as others need the memory."""
        if self._body is None and self._row.is_sending:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)
        elif self._body is None:
            self._end()
        else:
            self._body.give_way()

    def make_place(self) -> None:
        """Ends a connection without a whole request for another one."""
        self._makes_place = True
        self._end()

    def run(self) -> None:
        """Serves requests until the connection ends, then closes it."""
        is_graceful = False
        try:
            is_graceful = self._serve_requests()
        except (OSError, errors.MulberryquayError) as error:
            _LOG.debug('connection ended', extra={'cause': str(error)})
        finally:
            self._wait_for_row(0)
            self._close(is_graceful=is_graceful and not self._is_broken)

    def expire(self) -> None:
        """Ends the wait for a request after the idle or head timeout."""
        self._end()

    def close_if_idle(self) -> None:
        """Ends a connection on which no request has begun.

        A new connection has some time left for its first request.
        """
        if not self._has_served:
            age = self._state.clock.now() - self._accepted_at
            if age < _FIRST_REQUEST_MS:
                return
        if self.is_idle:
            self._end()

    def _end(self) -> None:
        self._is_ending = True
        self._woken.set()

    def _serve_requests(self) -> bool:
        """Serves requests; returns whether the connection ended in order."""
        keeps_reading = True
        while keeps_reading and not self._row.is_closed:
            try:
                head = self._next_head()
            except http_heads.MessageError as error:
                self._refuse_message(error)
                return True
            if head is None:
                return True
            if not self._start_exchange(head):
                return True
            keeps_reading = head.keeps_alive
            options = self._state.options.pipelining
            ahead = options.max_requests - 1
            self._wait_for_row(0 if self._state.memory.is_over else ahead)
            while self._row.size > options.max_bytes:
                self._wait_for_row(len(self._row) - 1)
            if not self._reader.is_between_messages:
                # The next request is here already, so nothing waits.
                read_turn.yield_now()
        return True

    def _next_head(self) -> http_heads.RequestHead | None:
        """Returns the next request, None at the end of the connection.

        Raises http_heads.MessageError, http_heads.CutShortError and OSError.
        """
        self._reader.max_head_bytes = (
            self._state.routing_table.limits.max_head_bytes
        )
        while True:
            head = self._reader.take_head()
            if head is not None:
                return head if self._may_serve_another() else None
            if not (self._reader.has_received or self._wait_for_input()):
                return None
            if not self._reader.receive():
                self._check_between_messages()
                return None
            if not self._memory.hold_head():
                self._refuse(request_body.memory_refusal())
                return None

    def _may_serve_another(self) -> bool:
        """Waits, while the entry stops, until the answers ahead are sent.

        Unless one of them closes the connection, returns true.
        """
        if self._state.planned_stop.has_begun:
            self._wait_for_row(0)
        return not self._row.is_closed

    def _wait_for_input(self) -> bool:
        """Returns whether bytes arrived before the connection must end."""
        self._input_watcher.start(self._woken.set)
        try:
            while True:
                self._woken.clear()
                if self._poll.poll(0):
                    return True
                if self._row.is_closed:
                    return False
                if self._is_ending:
                    self._refuse_slow_head()
                    return False
                self._update_deadline()
                self._woken.wait()
        finally:
            self._input_watcher.stop()

    def _update_deadline(self) -> None:
        """Sets the end of the wait for the next request, or for its rest."""
        if not self._reader.is_between_messages:
            self.deadline = self._head_deadline
        elif self._row:
            self.deadline = math.inf
        elif self.deadline == math.inf:
            limits = self._state.routing_table.limits
            self.deadline = self._state.clock.now() + limits.idle_timeout_ms

    def _make_room(self, size: int) -> bool:
        """Returns whether a request of ``size`` bytes may be served.

        Beside others, it waits for their answers if it does not fit.
        """
        memory = self._state.memory
        if self._row and not memory.make_room(size):
            self._wait_for_row(0)
        return memory.make_room(size, in_reserve=True)

    def _start_exchange(self, head: http_heads.RequestHead) -> bool:
        """Starts to serve a request; returns once its body is read.

        Returns False if it is not served: it does not fit and was refused,
        or an answer ahead closed the connection.
        """
        size = head.size
        held_bytes = caller_memory.request_bytes(size)
        has_room = self._make_room(held_bytes)
        if self._row.is_closed:
            return False
        if not has_room:
            self._state.limit_notes.note(caller_limits.Limit.MEMORY)
            self._refuse(request_body.memory_refusal())
            return False
        if not self._connections.begin_request(self):
            self._refuse(request_body.memory_refusal())
            return False
        self._has_served = True
        self._makes_place = False
        self.deadline = math.inf
        # It may have been asked to end before its request was read.
        self._memory.part.gives_way = False
        self._memory.part.add(held_bytes)
        # Slow ones may hold what this request needs, also at its target.
        self._state.memory.make_room(0)
        turn = self._row.enter(size)
        turn.held_bytes = held_bytes
        body = request_body.RequestBody(
            self._socket, self._reader, head, self._state, self.part
        )
        served = exchange.Exchange(
            self._state,
            self._socket,
            head,
            body,
            turn,
            is_relayed=self._is_peer,
        )
        turn.task = gevent.spawn(self._serve, served, turn)
        turn.task.rawlink(turn.leave_if_killed)
        if head.framing is not http_heads.Framing.NONE:
            self._body = body
            self._memory.widen(head)
            served.body_ended.wait()
            self._body = None
        self._memory.count_input()
        return True

    def _serve(self, served: exchange.Exchange, turn: answer_row.Turn) -> None:
        self._state.in_flight += 1
        keeps_alive = False
        is_complete = False
        try:
            keeps_alive = served.serve()
            is_complete = True
        except answer_row.BehindCloseError:
            # The answer that closes the connection was complete.
            is_complete = True
        except (OSError, errors.MulberryquayError) as error:
            _LOG.debug('answer not sent', extra={'cause': str(error)})
        finally:
            self._state.in_flight -= 1
            self._is_broken |= not is_complete
            served.body_ended.set()
            self._leave(turn, keeps_alive=keeps_alive)

    def _leave(self, turn: answer_row.Turn, *, keeps_alive: bool) -> None:
        self._memory.part.add(-turn.held_bytes)
        turn.leave(keeps_alive=keeps_alive)
        if not self._row:
            self._connections.end_requests(self)

    def _wait_for_row(self, length: int) -> None:
        """Returns once at most ``length`` requests are not answered."""
        while len(self._row) > length:
            self._woken.clear()
            self._woken.wait()

    def _check_between_messages(self) -> None:
        """Raises CutShortError if a request was read in part."""
        if not self._reader.is_between_messages:
            raise http_heads.CutShortError(
                'the caller closed the connection in the middle of a request',
            )

    def _start_head_timeout(self) -> None:
        """Starts the head timeout at the first byte of a request."""
        limits = self._state.routing_table.limits
        self._head_deadline = self._state.clock.now() + limits.head_timeout_ms

    def _refuse_slow_head(self) -> None:
        """Answers a request whose head was not complete in time, if any."""
        if self._reader.is_between_messages or self._makes_place:
            return
        refusal = outcomes.not_run(
            outcomes.Reason.REQUEST_TIMEOUT,
            'the head of the request was not complete in time',
        )
        if self._memory.part.gives_way:
            refusal = request_body.memory_refusal()
        self._refuse(refusal)

    def _refuse_message(self, error: http_heads.MessageError) -> None:
        """Answers a message that is not a valid request."""
        reason = outcomes.Reason.MALFORMED_REQUEST
        if isinstance(error, http_heads.HeadTooLargeError):
            reason = outcomes.Reason.HEAD_TOO_LARGE
        self._refuse(
            outcomes.not_run(reason, str(error), status=error.http_status),
        )

    def _refuse(self, refusal: outcomes.RefusedError) -> None:
        """Sends an error for a message that has no request record.

        Sends nothing if an answer ahead closes the connection.
        """
        self._wait_for_row(0)
        if self._row.is_closed:
            return
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
        answer before the caller has read it (RFC 9112, section 9.6). What
        has not arrived is not awaited if another caller needs the place.
        """
        self._socket.shutdown(socket.SHUT_WR)
        if self._reader.is_between_messages and not self._poll.poll(0):
            return
        limit = wait_limit.WaitLimit(
            self._state.clock, self._state.clock.now() + _DISCARD_TIMEOUT_MS
        )
        remaining = _MAX_DISCARDED_BYTES
        while remaining > 0:
            if self._makes_place and not self._poll.poll(0):
                return
            limit.apply(self._socket)
            chunk = self._socket.recv(messages.READ_BYTES)
            if not chunk:
                return
            remaining -= len(chunk)

    def _close(self, *, is_graceful: bool) -> None:
        """Closes the connection, with a reset if an answer is incomplete."""
        self._input_watcher.close()
        self._memory.close()
        try:
            if is_graceful:
                self._discard_unread_input()
            else:
                sockets.set_reset_on_close(self._socket, is_reset=True)
        except OSError as error:
            _LOG.debug(
                'caller had already closed the connection',
                extra={'cause': str(error)},
            )
        self._socket.close()
