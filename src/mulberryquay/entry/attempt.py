"""One try of a request on one target."""

from __future__ import annotations

import typing

import gevent
from gevent import socket

from mulberryquay.coordination import clock, errors
from mulberryquay.entry import connections, messages, outcomes, targets

#: Answers with a body up to this size are read whole before the caller
#: gets the first byte, so that a short one is never passed on.
WHOLE_ANSWER_BYTES: typing.Final = 65536

#: Header by which a target says that it refused before running a request.
NOT_RUN_HEADER: typing.Final = b'mulberryquay-not-run'

#: Header by which a target tells its calls in flight on each answer.
LOAD_HEADER: typing.Final = b'mulberryquay-load'


OUTCOME_HEADER: typing.Final = b'mulberryquay-outcome'
REASON_HEADER: typing.Final = b'mulberryquay-reason'
REQUEST_ID_HEADER: typing.Final = b'mulberryquay-request-id'


class Outgoing(typing.NamedTuple):
    """A request ready to be sent to any target."""

    method: bytes
    path: bytes
    headers: messages.Headers
    framing: messages.Framing
    #: The body so far; all of it unless ``rest`` is given.
    body: bytes
    #: Yields the parts of the body that were not read yet.
    rest: typing.Iterator[bytes] | None
    #: When the answer is of no more use, on the entry's clock.
    deadline: float


@typing.final
class Attempt:
    """Sends a request to a target and reads the beginning of its answer."""

    def __init__(
        self,
        target: targets.TargetState,
        outgoing: Outgoing,
        time: clock.Clock,
    ) -> None:
        """Prepares a try; ``target`` has been granted by the balancer."""
        self._target = target
        self._outgoing = outgoing
        self._clock = time
        self._pump: gevent.Greenlet | None = None
        self._rest_failure: errors.MulberryquayError | None = None

    def run(self, headers: messages.Headers) -> outcomes.Attempt:
        """Tries the request with ``headers`` added to its own."""
        try:
            link = self._target.pool.take(limit=self._target.link_limit)
        except connections.ConnectFailedError:
            self._target.record_failure()
            return outcomes.NotSent(outcomes.Reason.CONNECT_FAILED)
        except connections.ConnectionBudgetError:
            return outcomes.NotSent(outcomes.Reason.CONNECTION_BUDGET)
        try:
            ended = self._exchange(link, headers)
        except BaseException:
            self._stop_pump()
            self._target.pool.discard(link)
            raise
        if not isinstance(ended, outcomes.Received):
            self._stop_pump()
            self._target.pool.discard(link)
        return ended

    def finish(self, received: outcomes.Received) -> None:
        """Keeps the connection if it may carry another request."""
        link = received.link
        is_sent = self._pump is None or self._pump.value is True
        self._stop_pump()
        if is_sent and received.head.keeps_alive and link.reader.is_clean:
            self._target.pool.give_back(link)
        else:
            self._target.pool.discard(link)

    def abandon(self, received: outcomes.Received) -> None:
        """Closes the connection of an answer that is not read to its end."""
        self._stop_pump()
        self._target.pool.discard(received.link)

    def _exchange(
        self,
        link: connections.Link,
        headers: messages.Headers,
    ) -> outcomes.Attempt:
        started = self._clock.now()
        if not self._set_timeout(link):
            return outcomes.NotSent(outcomes.Reason.DEADLINE)
        request = self._encode(headers)
        try:
            sent = link.socket.send(request)
        except OSError:
            # The first send failed as a whole, so no byte has left.
            self._target.record_failure()
            return outcomes.NotSent(outcomes.Reason.CONNECT_FAILED)
        try:
            received = self._converse(link, request[sent:])
        except TimeoutError:
            self._target.record_timeout(self._clock.now() - started)
            return outcomes.Lost(outcomes.Reason.DEADLINE)
        except messages.MessageError:
            return self._lose(outcomes.Reason.MALFORMED_ANSWER)
        except (OSError, messages.CutShortError):
            return self._lose(outcomes.Reason.CONNECTION_LOST)
        return self._judge(received, self._clock.now() - started)

    def _converse(
        self,
        link: connections.Link,
        unsent: bytes,
    ) -> outcomes.Received:
        if unsent:
            link.socket.sendall(unsent)
        if self._outgoing.rest is not None:
            self._pump = gevent.spawn(self._send_rest, link)
        head = link.reader.read_head()
        if self._is_small(head):
            return self._read_whole(head, link)
        return outcomes.Received(head, link, None)

    def _is_small(self, head: messages.ResponseHead) -> bool:
        if self._outgoing.method == b'HEAD':
            return False
        is_sized = head.framing is messages.Framing.LENGTH
        return is_sized and head.length <= WHOLE_ANSWER_BYTES

    def _read_whole(
        self,
        head: messages.ResponseHead,
        link: connections.Link,
    ) -> outcomes.Received:
        body = b''
        while True:
            part = link.reader.read_part()
            if part is None:
                return outcomes.Received(head, link, body)
            body += part
            if len(body) < head.length and not self._set_timeout(link):
                raise TimeoutError

    def _judge(
        self,
        received: outcomes.Received,
        latency: float,
    ) -> outcomes.Attempt:
        if self._target.is_peer:
            return _judge_relayed(received)
        head = received.head
        if self._is_shed(head):
            self._target.record_shed()
            return outcomes.Shed(outcomes.Reason.TARGET_SHED)
        self._target.record_answer(latency, reported=_reported_load(head))
        return received

    def _is_shed(self, head: messages.ResponseHead) -> bool:
        if head.status in self._target.row.shed_statuses:
            return True
        return head.find(NOT_RUN_HEADER) is not None

    def _lose(self, reason: outcomes.Reason) -> outcomes.Lost:
        failure = self._rest_failure
        if isinstance(failure, outcomes.RefusedError):
            return outcomes.Lost(failure.reason)
        self._target.record_failure()
        return outcomes.Lost(reason)

    def _set_timeout(self, link: connections.Link) -> bool:
        remaining = self._outgoing.deadline - self._clock.now()
        if remaining <= 0:
            return False
        link.socket.settimeout(remaining / clock.MS_PER_SECOND)
        return True

    def _encode(self, headers: messages.Headers) -> bytes:
        outgoing = self._outgoing
        start_line = b'%b %b HTTP/1.1' % (outgoing.method, outgoing.path)
        head = messages.encode_head(start_line, outgoing.headers + headers)
        body = outgoing.body
        if outgoing.framing is messages.Framing.CHUNKED:
            body = messages.encode_chunk(body) if body else b''
            if outgoing.rest is None:
                body += messages.LAST_CHUNK
        return head + body

    def _send_rest(self, link: connections.Link) -> bool:
        """Sends the rest of the body; True when all of it was sent."""
        try:
            for part in self._outgoing.rest or ():
                self._send_part(link, part)
            if self._outgoing.framing is messages.Framing.CHUNKED:
                link.socket.sendall(messages.LAST_CHUNK)
        except OSError:
            # The answer, if any, is read by the task that waits for it.
            return False
        except errors.MulberryquayError as error:
            self._rest_failure = error
            link.socket.shutdown(socket.SHUT_RDWR)
            return False
        return True

    def _send_part(self, link: connections.Link, part: bytes) -> None:
        if self._outgoing.framing is messages.Framing.CHUNKED:
            part = messages.encode_chunk(part)
        link.socket.sendall(part)

    def _stop_pump(self) -> None:
        if self._pump is not None:
            self._pump.kill()


def _judge_relayed(received: outcomes.Received) -> outcomes.Attempt:
    """Takes over the outcome that another entry states."""
    head = received.head
    outcome = outcomes.Outcome(_text(head, OUTCOME_HEADER))
    reason = outcomes.Reason(_text(head, REASON_HEADER))
    if outcome is outcomes.Outcome.NOT_RUN:
        return outcomes.Shed(reason)
    return outcomes.Received(
        head,
        received.link,
        received.body,
        outcome,
        reason,
        _text(head, REQUEST_ID_HEADER),
    )


def _text(head: messages.ResponseHead, name: bytes) -> str:
    return (head.find(name) or b'').decode('latin-1')


def _reported_load(head: messages.ResponseHead) -> int | None:
    text = head.find(LOAD_HEADER)
    if text is None or not text.isdigit():
        return None
    return int(text)
