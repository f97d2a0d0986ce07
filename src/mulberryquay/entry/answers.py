"""Sends answers to callers: those of targets and the entry's own errors."""

from __future__ import annotations

import enum
import json
import typing
from http import HTTPStatus

from mulberryquay import sockets
from mulberryquay.coordination import errors, wait_limit
from mulberryquay.entry import (
    header_names,
    keyed,
    http_heads,
    messages,
    outcomes,
)

#: The framings whose end the head tells.
_SIZED_FRAMINGS: typing.Final = frozenset(
    (http_heads.Framing.NONE, http_heads.Framing.LENGTH),
)
_CONNECTION_CLOSE: typing.Final = (b'connection', b'close')
_HEADER_VALUES: typing.Final[dict[enum.Enum, bytes]] = {
    member: member.value.encode()
    for member in (*outcomes.Outcome, *outcomes.Reason)
}
_STATUS_LINES: typing.Final = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}'.encode()
    for status in HTTPStatus
}


@typing.final
class AnswerCutShortError(errors.MulberryquayError):
    """The answer could not be sent to its end; its head had been sent."""

    code = 'answer-cut-short'

    def __init__(
        self,
        message: str,
        reason: outcomes.Reason = outcomes.Reason.ANSWER_CUT_SHORT,
        *,
        is_by_caller: bool = False,
    ) -> None:
        """``is_by_caller`` says that the caller did not read in time."""
        super().__init__(message)
        #: Recorded with the request, and with the target if it failed.
        self.reason = reason
        self.is_by_caller = is_by_caller


class AnswerContext(typing.NamedTuple):
    """The parts of the caller's request that shape the answer."""

    head: http_heads.RequestHead
    request_id: str
    #: Whether the connection stays open for another request.
    keeps_alive: bool
    #: Name of the header with the request id.
    request_id_header: bytes = header_names.REQUEST_ID

    @property
    def request_id_field(self) -> tuple[bytes, bytes]:
        """The header field with the request id."""
        return self.request_id_header, self.request_id.encode('latin-1')


def send_answer(
    connection: typing.Any,
    context: AnswerContext,
    received: outcomes.Received,
    limit: wait_limit.WaitLimit,
    hold: typing.Callable[[int], None],
) -> bool:
    """Sends a target's answer; returns whether to keep the connection.

    ``hold`` counts what waits to be sent, or raises.

    Raises OSError when the caller is gone and AnswerCutShortError when the
    target's answer ended early or the deadline passed before its end.
    """
    framing = _framing_for(context.head, received.head)
    ends_with_connection = framing is http_heads.Framing.UNTIL_CLOSE
    keeps_alive = context.keeps_alive
    if ends_with_connection or _is_unsized(received.head, framing):
        keeps_alive = False
        context = context._replace(keeps_alive=False)
    encoded_head = _encode_head(context, received, framing)
    if received.body is not None:
        http_heads.send_all(connection, encoded_head + received.body, hold)
        return keeps_alive
    if ends_with_connection:
        # Unless reset, the caller takes the end of this process for the end
        # of the answer.
        sockets.set_reset_on_close(connection, is_reset=True)
    http_heads.send_all(connection, encoded_head)
    if framing is not http_heads.Framing.NONE:
        _send_body(connection, received, framing, limit, hold)
        connection.settimeout(wait_limit.STALL_TIMEOUT_S)
    if ends_with_connection:
        sockets.set_reset_on_close(connection, is_reset=False)
    return keeps_alive


def encode_refusal(
    context: AnswerContext | None,
    refusal: outcomes.RefusedError,
) -> bytes:
    """Returns the encoded answer for a refusal.

    ``context`` is None when the request could not be parsed.
    """
    body = json.dumps(
        errors.to_body(refusal.reason.value, str(refusal)),
    ).encode()
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', b'%d' % len(body)),
        *refusal.headers,
        *_outcome_headers(refusal.outcome, refusal.reason),
    ]
    if context is None or not context.keeps_alive:
        headers.append(_CONNECTION_CLOSE)
    if context is not None:
        headers.append(context.request_id_field)
    answer = http_heads.encode_head(_status_line(refusal.status), headers)
    if context is not None and context.head.method == b'HEAD':
        return answer
    return answer + body


def encode_kept_answer(context: AnswerContext, kept: keyed.KeptAnswer) -> bytes:
    """Returns the encoded answer of an earlier run of the same request."""
    headers = [
        *kept.headers,
        *_outcome_headers(
            outcomes.Outcome.ANSWERED,
            outcomes.Reason.KEPT_ANSWER,
        ),
        context.request_id_field,
    ]
    if not context.keeps_alive:
        headers.append(_CONNECTION_CLOSE)
    if kept.status not in messages.NO_BODY_STATUSES:
        headers.append((b'content-length', b'%d' % len(kept.body)))
    head = http_heads.encode_head(_status_line(kept.status), headers)
    return head + kept.body


def _framing_for(
    request: http_heads.RequestHead,
    answer: http_heads.ResponseHead,
) -> http_heads.Framing:
    """Returns the framing towards the caller.

    The end of a connection is no framing for an HTTP/1.1 caller: the system
    closes the connections of a killed process, and the caller would take a
    part of the answer for all of it.
    """
    if request.method == b'HEAD':
        return http_heads.Framing.NONE
    if answer.framing in _SIZED_FRAMINGS:
        return answer.framing
    if request.is_http_one_zero:
        return http_heads.Framing.UNTIL_CLOSE
    return http_heads.Framing.CHUNKED


def _is_unsized(
    answer: http_heads.ResponseHead, framing: http_heads.Framing
) -> bool:
    """Whether a body has no length at the target.

    A caller may then read to the end of the connection, whatever the framing.
    """
    has_body = framing is not http_heads.Framing.NONE
    return has_body and answer.framing is http_heads.Framing.UNTIL_CLOSE


def _encode_head(
    context: AnswerContext,
    received: outcomes.Received,
    framing: http_heads.Framing,
) -> bytes:
    answer = received.head
    headers = _outcome_headers(received.outcome, received.reason)
    match framing:
        case http_heads.Framing.CHUNKED:
            headers.append((b'transfer-encoding', b'chunked'))
        case http_heads.Framing.LENGTH:
            headers.append((b'content-length', b'%d' % answer.length))
        case http_heads.Framing.NONE:
            _copy_length(context, answer, headers)
    headers.append(context.request_id_field)
    if answer.status in outcomes.UNAVAILABLE_STATUSES:
        # This entry made the retries that the service class and the retry
        # budget allow; retries by its callers would multiply them.
        headers.append((header_names.NO_RETRY, b'1'))
    if not context.keeps_alive:
        headers.append(_CONNECTION_CLOSE)
    return http_heads.encode_head(
        _status_line(answer.status), headers, answer.forwarded_headers
    )


def _copy_length(
    context: AnswerContext,
    answer: http_heads.ResponseHead,
    headers: http_heads.Headers,
) -> None:
    """Copies the Content-Length of the answer to a HEAD request."""
    length = answer.find(b'content-length')
    if length is not None and context.head.method == b'HEAD':
        headers.append((b'content-length', length))


def _outcome_headers(
    outcome: outcomes.Outcome,
    reason: outcomes.Reason,
) -> http_heads.Headers:
    return [
        (header_names.OUTCOME, _HEADER_VALUES[outcome]),
        (header_names.REASON, _HEADER_VALUES[reason]),
    ]


def _send_body(
    connection: typing.Any,
    received: outcomes.Received,
    framing: http_heads.Framing,
    limit: wait_limit.WaitLimit,
    hold: typing.Callable[[int], None],
) -> None:
    is_chunked = framing is http_heads.Framing.CHUNKED
    for part in _body_parts(received, limit):
        _send_part(
            connection,
            http_heads.encode_chunk(part) if is_chunked else part,
            limit,
            hold,
        )
    if is_chunked:
        connection.sendall(http_heads.LAST_CHUNK)


def _send_part(
    connection: typing.Any,
    part: bytes,
    limit: wait_limit.WaitLimit,
    hold: typing.Callable[[int], None],
) -> None:
    try:
        limit.apply(connection)
        http_heads.send_all(connection, part, hold)
    except TimeoutError as error:
        raise AnswerCutShortError(
            'the caller read no more of its answer in time',
            outcomes.Reason.DEADLINE,
            is_by_caller=True,
        ) from error


def _body_parts(
    received: outcomes.Received, limit: wait_limit.WaitLimit
) -> typing.Iterator[bytes]:
    """Yields the body of an answer.

    Raises AnswerCutShortError if the target ends it early or too late.
    """
    reader = received.connection.reader
    reader.wait_limit = limit
    read = reader.read_part
    if received.head.framing is http_heads.Framing.UNTIL_CLOSE:
        read = reader.read_until_close
    while True:
        try:
            part = read()
        except TimeoutError as error:
            raise AnswerCutShortError(
                'the target sent no more of its answer in time',
                outcomes.Reason.DEADLINE,
            ) from error
        except (OSError, errors.MulberryquayError) as error:
            raise AnswerCutShortError(str(error)) from error
        if part is None:
            reader.wait_limit = None
            return
        yield part


def _status_line(status: int) -> bytes:
    status_line = _STATUS_LINES.get(status)
    return status_line or b'HTTP/1.1 %d Status' % status
