"""One attempt to send a request to one target."""

from __future__ import annotations

import typing

import gevent

from mulberryquay.coordination import clock, errors, watchdog
from mulberryquay.entry import (
    connections,
    dialect,
    header_names,
    http_heads,
    outcomes,
    rate_limit,
    targets,
)

#: Answers with a body up to this size are buffered completely before the
#: caller gets the first byte, so that a truncated one is never forwarded.
MAX_BUFFERED_ANSWER_BYTES: typing.Final = 65536

#: Maximum number of answers read from a connection to find the one to the
#: request; the others are late answers to earlier requests.
_MAX_ANSWERS_READ: typing.Final = 3

_FIRST_FAILURE_STATUS: typing.Final = 300


def _hold_any(_size: int) -> bool:
    """Lets any answer be kept."""
    return True


class OutgoingRequest(typing.NamedTuple):
    """A request ready to be sent to any target."""

    method: bytes
    path: bytes
    headers: http_heads.HeaderBlock
    framing: http_heads.Framing
    #: The body read so far; complete unless ``remaining_body`` is given.
    body: bytes
    #: Reads and yields the rest of the body.
    remaining_body: typing.Iterator[bytes] | None
    #: When the caller stops waiting for the answer, on the entry's clock.
    deadline: float
    #: Request id, which targets of some dialects repeat on the answer.
    request_id: bytes = b''
    #: Counts an answer of a size, unless callers hold too much to keep it.
    holds_answer: typing.Callable[[int], bool] = _hold_any


@typing.final
class Attempt:
    """Sends a request to a target and reads the beginning of its answer."""

    def __init__(
        self,
        target: targets.TargetState,
        outgoing: OutgoingRequest,
        time_source: clock.Clock,
        deadline_watchdog: watchdog.Watchdog,
    ) -> None:
        """Prepares an attempt on a ``target`` that the balancer granted."""
        self.deadline = outgoing.deadline
        self._target = target
        self._outgoing = outgoing
        self._clock = time_source
        self._watchdog = deadline_watchdog
        self._connection: connections.TargetConnection | None = None
        self._is_timed_out = False
        self._body_sender: gevent.Greenlet | None = None
        self._body_error: errors.MulberryquayError | None = None

    def run(self, headers: http_heads.Headers) -> outcomes.AttemptResult:
        """Sends the request with ``headers`` added to its own."""
        remaining = self.deadline - self._clock.now()
        if remaining <= 0:
            return outcomes.NotSent(outcomes.Reason.DEADLINE)
        try:
            connection = self._target.pool.take(
                limit=self._target.connection_limit, timeout=remaining
            )
        except connections.ConnectFailedError:
            if self._clock.now() >= self.deadline:
                return outcomes.NotSent(outcomes.Reason.DEADLINE)
            self._target.record_failure(outcomes.Reason.CONNECT_FAILED)
            return outcomes.NotSent(outcomes.Reason.CONNECT_FAILED)
        except connections.ConnectionBudgetError:
            return outcomes.NotSent(outcomes.Reason.CONNECTION_BUDGET)
        self._connection = connection
        self._watchdog.watch(self)
        try:
            result = self._exchange(connection, headers)
        except BaseException:
            self._stop_body_sender()
            self._target.pool.discard(connection)
            raise
        finally:
            self._watchdog.release(self)
        if not isinstance(result, outcomes.Received):
            self._stop_body_sender()
            self._target.pool.discard(connection)
        return result

    def expire(self) -> None:
        """Interrupts the wait for the answer: deadline or end of the entry."""
        self._is_timed_out = True
        if self._connection is not None:
            self._connection.interrupt()

    def finish(self, received: outcomes.Received) -> None:
        """Returns the connection to the pool if it can be reused."""
        connection = received.connection
        is_sent = self._body_sender is None or self._body_sender.value is True
        self._stop_body_sender()
        if (
            is_sent
            and received.head.keeps_alive
            and connection.reader.is_between_messages
        ):
            self._target.pool.give_back(connection, received.head)
        else:
            self._target.pool.discard(connection)

    def abandon(self, received: outcomes.Received) -> None:
        """Closes the connection of an answer that was not read completely."""
        self._stop_body_sender()
        self._target.pool.discard(received.connection)

    def _exchange(
        self,
        connection: connections.TargetConnection,
        headers: http_heads.Headers,
    ) -> outcomes.AttemptResult:
        started = self._clock.now()
        connection.sent_ids.append(self._outgoing.request_id)
        try:
            unsent = self._send_beginning(connection, headers)
        except OSError:
            # The first send failed, so no byte was sent.
            self._target.record_failure(outcomes.Reason.CONNECT_FAILED)
            return outcomes.NotSent(outcomes.Reason.CONNECT_FAILED)
        try:
            if unsent:
                connection.socket.sendall(unsent)
            # Not kept while the answer is awaited.
            unsent = b''
            received = self._receive(connection)
        except http_heads.MessageError:
            return self._record_lost_answer(
                outcomes.Reason.MALFORMED_ANSWER, started
            )
        except (OSError, http_heads.CutShortError):
            return self._record_lost_answer(
                outcomes.Reason.CONNECTION_LOST, started
            )
        return self._classify_answer(received, self._clock.now() - started)

    def _send_beginning(
        self,
        connection: connections.TargetConnection,
        headers: http_heads.Headers,
    ) -> bytes:
        """Sends the head and the body read so far; returns the unsent rest."""
        request = self._encode(headers)
        sent: int = connection.socket.send(request)
        return request[sent:]

    def _receive(
        self, connection: connections.TargetConnection
    ) -> outcomes.Received:
        if self._outgoing.remaining_body is not None:
            self._body_sender = gevent.spawn(
                self._send_remaining_body, connection
            )
        head = self._read_matching_head(connection)
        self._check_signature(head)
        if self._is_bufferable(head):
            return self._read_whole_answer(head, connection)
        return outcomes.Received(head, connection, None)

    def _read_matching_head(
        self, connection: connections.TargetConnection
    ) -> http_heads.ResponseHead:
        """Returns the head of the answer to this request.

        Skips late answers to earlier requests on the connection. Raises
        MessageError, CutShortError and OSError.
        """
        for _ in range(_MAX_ANSWERS_READ):
            head = connection.reader.read_head()
            if self._target.is_peer or self._is_own_answer(head, connection):
                return head
            if head.framing is http_heads.Framing.UNTIL_CLOSE:
                break
            while connection.reader.read_part() is not None:
                """Skips the body of a late answer."""
        raise http_heads.MessageError('got only answers to other requests')

    def _is_own_answer(
        self,
        head: http_heads.ResponseHead,
        connection: connections.TargetConnection,
    ) -> bool:
        """Whether an answer is not the late copy of another one."""
        answered_id = head.find(self._target.dialect.request_id)
        if answered_id == self._outgoing.request_id:
            self._target.pool.echoes_ids = True
            return True
        if answered_id is not None:
            # Unless callers set the ids, a target may pass on those of others.
            is_strict = self._target.dialect.caller_sets_request_id
            return not is_strict and answered_id not in connection.sent_ids
        is_probe_answer = (
            connection.has_carried_probe
            and self._target.pool.echoes_ids
            and head.status < _FIRST_FAILURE_STATUS
        )
        return not is_probe_answer

    def _check_signature(self, head: http_heads.ResponseHead) -> None:
        """Raises MessageError for an unsigned or content-encoded success."""
        signature = self._target.dialect.signature
        if not signature or head.status >= _FIRST_FAILURE_STATUS:
            return
        if head.find(signature) is None:
            raise http_heads.MessageError(
                'got a success without the signature header'
            )
        if head.find(header_names.CONTENT_ENCODING) is not None:
            raise http_heads.MessageError(
                'got a signed success with a Content-Encoding, expected none'
            )

    def _is_bufferable(self, head: http_heads.ResponseHead) -> bool:
        if self._outgoing.method == b'HEAD':
            return False
        is_sized = head.framing is http_heads.Framing.LENGTH
        if not is_sized or head.length > MAX_BUFFERED_ANSWER_BYTES:
            return False
        return self._outgoing.holds_answer(head.length)

    def _read_whole_answer(
        self,
        head: http_heads.ResponseHead,
        connection: connections.TargetConnection,
    ) -> outcomes.Received:
        body = b''
        while True:
            part = connection.reader.read_part()
            if part is None:
                return outcomes.Received(head, connection, body)
            body += part

    def _classify_answer(
        self,
        received: outcomes.Received,
        latency: float,
    ) -> outcomes.AttemptResult:
        if self._target.is_peer:
            return self._classify_relayed_answer(received)
        head = received.head
        header_dialect = self._target.dialect
        report = _reported_load(head, header_dialect)
        is_misdirected = head.status in header_dialect.misdirected_statuses
        is_shed = self._is_shed(head)
        if (is_misdirected or is_shed) and not self._is_own_refusal(received):
            self._target.record_failure(outcomes.Reason.MALFORMED_ANSWER)
            return outcomes.Lost(outcomes.Reason.MALFORMED_ANSWER)
        if is_misdirected:
            self._target.record_address_reused()
            return outcomes.Shed(outcomes.Reason.MISDIRECTED)
        self._record_rate_limit(head, is_shed=is_shed)
        if is_shed:
            self._target.record_shed(report)
            return outcomes.Shed(outcomes.Reason.TARGET_SHED)
        if head.status in header_dialect.not_run_statuses:
            # Without the not-run header the target may have run the request.
            self._target.record_failure(outcomes.Reason.TARGET_UNAVAILABLE)
            return outcomes.Lost(outcomes.Reason.TARGET_UNAVAILABLE)
        self._target.record_answer(
            latency,
            reported=report,
            is_served=head.status < http_heads.FIRST_SERVER_ERROR_STATUS,
        )
        return received

    def _is_own_refusal(self, received: outcomes.Received) -> bool:
        """Whether a refusal can't be the repeated one of another request."""
        refused_id = received.head.find(self._target.dialect.request_id)
        if refused_id == self._outgoing.request_id:
            return True
        if received.connection.is_first_use:
            return True
        return refused_id is None and not self._target.pool.echoes_ids

    def _record_rate_limit(
        self, head: http_heads.ResponseHead, *, is_shed: bool
    ) -> None:
        """Records the rate limit; a refusal without one does not end it."""
        named = head.find(self._target.dialect.rate_limit)
        if named is not None or not is_shed:
            self._target.rate_limit.observe_header(
                named, rate_limit.Source.ANSWER
            )

    def _classify_relayed_answer(
        self, received: outcomes.Received
    ) -> outcomes.AttemptResult:
        """Returns the result that another entry reported in its headers."""
        head = received.head
        try:
            outcome = outcomes.Outcome(_header_text(head, header_names.OUTCOME))
            reason = outcomes.Reason(_header_text(head, header_names.REASON))
        except ValueError:
            # Another release's words, or not an entry: it may have run.
            self._target.record_failure(outcomes.Reason.MALFORMED_ANSWER)
            return outcomes.Lost(outcomes.Reason.MALFORMED_ANSWER)
        if outcome is outcomes.Outcome.NOT_RUN:
            return outcomes.Shed(reason)
        return outcomes.Received(
            head,
            received.connection,
            received.body,
            outcome,
            reason,
            _header_text(head, self._target.dialect.request_id),
        )

    def _is_shed(self, head: http_heads.ResponseHead) -> bool:
        if head.status in self._target.row.shed_statuses:
            return True
        return head.find(self._target.dialect.not_run) is not None

    def _record_lost_answer(
        self,
        reason: outcomes.Reason,
        started: float,
    ) -> outcomes.Lost:
        if self._is_timed_out:
            if self._clock.now() < self.deadline:
                return outcomes.Lost(outcomes.Reason.ENTRY_STOPPING)
            self._target.record_timeout(self._clock.now() - started)
            return outcomes.Lost(outcomes.Reason.DEADLINE)
        body_error = self._body_error
        if isinstance(body_error, outcomes.RefusedError):
            return outcomes.Lost(body_error.reason)
        self._target.record_failure(reason)
        return outcomes.Lost(reason)

    def _encode(self, headers: http_heads.Headers) -> bytes:
        outgoing = self._outgoing
        start_line = b'%b %b HTTP/1.1' % (outgoing.method, outgoing.path)
        head = http_heads.encode_head(start_line, headers, outgoing.headers)
        body = outgoing.body
        if outgoing.framing is http_heads.Framing.CHUNKED:
            body = http_heads.encode_chunk(body) if body else b''
            if outgoing.remaining_body is None:
                body += http_heads.LAST_CHUNK
        return head + body

    def _send_remaining_body(
        self, connection: connections.TargetConnection
    ) -> bool:
        """Sends the rest of the body; returns whether all of it was sent."""
        try:
            for part in self._outgoing.remaining_body or ():
                self._send_part(connection, part)
            if self._outgoing.framing is http_heads.Framing.CHUNKED:
                connection.send_body(http_heads.LAST_CHUNK)
        except OSError:
            # The target may have answered early; the reading task finds out.
            return False
        except errors.MulberryquayError as error:
            self._body_error = error
            connection.interrupt()
            return False
        return True

    def _send_part(
        self, connection: connections.TargetConnection, part: bytes
    ) -> None:
        if self._outgoing.framing is http_heads.Framing.CHUNKED:
            part = http_heads.encode_chunk(part)
        connection.send_body(part)

    def _stop_body_sender(self) -> None:
        if self._body_sender is not None:
            self._body_sender.kill()


def _header_text(head: http_heads.ResponseHead, name: bytes) -> str:
    return (head.find(name) or b'').decode('latin-1')


def _reported_load(
    head: http_heads.ResponseHead,
    header_dialect: dialect.HeaderDialect,
) -> dialect.LoadReport | None:
    text = head.find(header_dialect.load)
    return None if text is None else header_dialect.parse_load(text)
