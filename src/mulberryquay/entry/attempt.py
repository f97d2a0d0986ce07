"""One try of a request on one target."""

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
    targets,
)

#: Answers with a body up to this size are read whole before the caller
#: gets the first byte, so that a short one is never passed on.
WHOLE_ANSWER_BYTES: typing.Final = 65536

#: Each further part of a longer answer must come this soon.
_PART_TIMEOUT_S: typing.Final = 60.0

#: Answers to earlier requests that are skipped on one connection.
_MAX_LATE_ANSWERS: typing.Final = 3

_FIRST_FAILURE_STATUS: typing.Final = 300


class Outgoing(typing.NamedTuple):
    """A request ready to be sent to any target."""

    method: bytes
    path: bytes
    headers: http_heads.Headers
    framing: http_heads.Framing
    #: The body so far; all of it unless ``rest`` is given.
    body: bytes
    #: Yields the parts of the body that were not read yet.
    rest: typing.Iterator[bytes] | None
    #: When the answer is of no more use, on the entry's clock.
    deadline: float
    #: Names the request; targets that repeat names repeat this one.
    request_id: bytes = b''


@typing.final
class Attempt:
    """Sends a request to a target and reads the beginning of its answer."""

    def __init__(
        self,
        target: targets.TargetState,
        outgoing: Outgoing,
        time_source: clock.Clock,
        watching: watchdog.Watchdog,
    ) -> None:
        """Prepares a try; ``target`` has been granted by the balancer."""
        self.deadline = outgoing.deadline
        self._target = target
        self._outgoing = outgoing
        self._clock = time_source
        self._watchdog = watching
        self._link: connections.TargetConnection | None = None
        self._is_overdue = False
        self._pump: gevent.Greenlet | None = None
        self._rest_failure: errors.MulberryquayError | None = None

    def run(self, headers: http_heads.Headers) -> outcomes.Attempt:
        """Tries the request with ``headers`` added to its own."""
        if self._clock.now() >= self.deadline:
            return outcomes.NotSent(outcomes.Reason.DEADLINE)
        try:
            link = self._target.pool.take(limit=self._target.link_limit)
        except connections.ConnectFailedError:
            self._target.record_failure()
            return outcomes.NotSent(outcomes.Reason.CONNECT_FAILED)
        except connections.ConnectionBudgetError:
            return outcomes.NotSent(outcomes.Reason.CONNECTION_BUDGET)
        self._link = link
        self._watchdog.watch(self)
        try:
            ended = self._exchange(link, headers)
        except BaseException:
            self._stop_pump()
            self._target.pool.discard(link)
            raise
        finally:
            self._watchdog.release(self)
        if not isinstance(ended, outcomes.Received):
            self._stop_pump()
            self._target.pool.discard(link)
        return ended

    def expire(self) -> None:
        """Ends the wait for an answer that comes too late."""
        self._is_overdue = True
        if self._link is not None:
            self._link.end_wait()

    def finish(self, received: outcomes.Received) -> None:
        """Keeps the connection if it may carry another request."""
        link = received.link
        is_sent = self._pump is None or self._pump.value is True
        self._stop_pump()
        if (
            is_sent
            and received.head.keeps_alive
            and link.reader.is_between_messages
        ):
            self._target.pool.give_back(link, received.head)
        else:
            self._target.pool.discard(link)

    def abandon(self, received: outcomes.Received) -> None:
        """Closes the connection of an answer that is not read to its end."""
        self._stop_pump()
        self._target.pool.discard(received.link)

    def _exchange(
        self,
        link: connections.TargetConnection,
        headers: http_heads.Headers,
    ) -> outcomes.Attempt:
        started = self._clock.now()
        request = self._encode(headers)
        try:
            sent = link.socket.send(request)
        except OSError:
            # The first send failed as a whole, so no byte has left.
            self._target.record_failure()
            return outcomes.NotSent(outcomes.Reason.CONNECT_FAILED)
        try:
            received = self._converse(link, request[sent:])
        except http_heads.MessageError:
            return self._lose(outcomes.Reason.MALFORMED_ANSWER, started)
        except (OSError, http_heads.CutShortError):
            return self._lose(outcomes.Reason.CONNECTION_LOST, started)
        return self._judge(received, self._clock.now() - started)

    def _converse(
        self,
        link: connections.TargetConnection,
        unsent: bytes,
    ) -> outcomes.Received:
        if unsent:
            link.socket.sendall(unsent)
        if self._outgoing.rest is not None:
            self._pump = gevent.spawn(self._send_rest, link)
        head = self._read_own_head(link)
        self._check_sealed(head)
        if self._is_small(head):
            return self._read_whole(head, link)
        link.socket.settimeout(_PART_TIMEOUT_S)
        return outcomes.Received(head, link, None)

    def _read_own_head(
        self, link: connections.TargetConnection
    ) -> http_heads.ResponseHead:
        """Returns the head of the answer to this request.

        Skips late answers to earlier requests on the connection. Raises
        MessageError, CutShortError and OSError.
        """
        spoken = self._target.dialect
        for _ in range(_MAX_LATE_ANSWERS):
            head = link.reader.read_head()
            named = head.find(spoken.request_id)
            is_own = not spoken.caller_sets_request_id or named in {
                None,
                self._outgoing.request_id,
            }
            if is_own or self._target.is_peer:
                return head
            if head.framing is http_heads.Framing.UNTIL_CLOSE:
                break
            while link.reader.read_part() is not None:
                """Skips the body of a late answer."""
        raise http_heads.MessageError('got answers to other requests')

    def _check_sealed(self, head: http_heads.ResponseHead) -> None:
        """Raises MessageError for a success that no target has sealed."""
        signature = self._target.dialect.signature
        if not signature or head.status >= _FIRST_FAILURE_STATUS:
            return
        if head.find(signature) is None:
            raise http_heads.MessageError('got a success without its seal')
        if head.find(header_names.CONTENT_ENCODING) is not None:
            raise http_heads.MessageError('got a body with an encoding')

    def _is_small(self, head: http_heads.ResponseHead) -> bool:
        if self._outgoing.method == b'HEAD':
            return False
        is_sized = head.framing is http_heads.Framing.LENGTH
        return is_sized and head.length <= WHOLE_ANSWER_BYTES

    def _read_whole(
        self,
        head: http_heads.ResponseHead,
        link: connections.TargetConnection,
    ) -> outcomes.Received:
        body = b''
        while True:
            part = link.reader.read_part()
            if part is None:
                return outcomes.Received(head, link, body)
            body += part

    def _judge(
        self,
        received: outcomes.Received,
        latency: float,
    ) -> outcomes.Attempt:
        if self._target.is_peer:
            return _judge_relayed(received, self._target)
        head = received.head
        spoken = self._target.dialect
        report = _reported_load(head, spoken)
        if head.status in spoken.misdirected_statuses:
            self._target.record_address_reused()
            return outcomes.Shed(outcomes.Reason.MISDIRECTED)
        if self._is_shed(head):
            self._target.record_shed(report)
            return outcomes.Shed(outcomes.Reason.TARGET_SHED)
        if head.status in spoken.not_run_statuses:
            # The target does not say so, so it may have run the request.
            self._target.record_failure()
            return outcomes.Lost(outcomes.Reason.TARGET_UNAVAILABLE)
        self._target.record_answer(latency, reported=report)
        return received

    def _is_shed(self, head: http_heads.ResponseHead) -> bool:
        if head.status in self._target.row.shed_statuses:
            return True
        return head.find(self._target.dialect.not_run) is not None

    def _lose(
        self,
        reason: outcomes.Reason,
        started: float,
    ) -> outcomes.Lost:
        if self._is_overdue:
            self._target.record_timeout(self._clock.now() - started)
            return outcomes.Lost(outcomes.Reason.DEADLINE)
        failure = self._rest_failure
        if isinstance(failure, outcomes.RefusedError):
            return outcomes.Lost(failure.reason)
        self._target.record_failure()
        return outcomes.Lost(reason)

    def _encode(self, headers: http_heads.Headers) -> bytes:
        outgoing = self._outgoing
        start_line = b'%b %b HTTP/1.1' % (outgoing.method, outgoing.path)
        head = http_heads.encode_head(start_line, outgoing.headers + headers)
        body = outgoing.body
        if outgoing.framing is http_heads.Framing.CHUNKED:
            body = http_heads.encode_chunk(body) if body else b''
            if outgoing.rest is None:
                body += http_heads.LAST_CHUNK
        return head + body

    def _send_rest(self, link: connections.TargetConnection) -> bool:
        """Sends the rest of the body; True when all of it was sent."""
        try:
            for part in self._outgoing.rest or ():
                self._send_part(link, part)
            if self._outgoing.framing is http_heads.Framing.CHUNKED:
                link.socket.sendall(http_heads.LAST_CHUNK)
        except OSError:
            # The answer, if any, is read by the task that waits for it.
            return False
        except errors.MulberryquayError as error:
            self._rest_failure = error
            link.end_wait()
            return False
        return True

    def _send_part(
        self, link: connections.TargetConnection, part: bytes
    ) -> None:
        if self._outgoing.framing is http_heads.Framing.CHUNKED:
            part = http_heads.encode_chunk(part)
        link.socket.sendall(part)

    def _stop_pump(self) -> None:
        if self._pump is not None:
            self._pump.kill()


def _judge_relayed(
    received: outcomes.Received,
    target: targets.TargetState,
) -> outcomes.Attempt:
    """Takes over the outcome that another entry states."""
    head = received.head
    outcome = outcomes.Outcome(_text(head, header_names.OUTCOME))
    reason = outcomes.Reason(_text(head, header_names.REASON))
    if outcome is outcomes.Outcome.NOT_RUN:
        return outcomes.Shed(reason)
    return outcomes.Received(
        head,
        received.link,
        received.body,
        outcome,
        reason,
        _text(head, target.dialect.request_id),
    )


def _text(head: http_heads.ResponseHead, name: bytes) -> str:
    return (head.find(name) or b'').decode('latin-1')


def _reported_load(
    head: http_heads.ResponseHead,
    spoken: dialect.HeaderDialect,
) -> dialect.LoadReport | None:
    text = head.find(spoken.load)
    return None if text is None else spoken.parse_load(text)
