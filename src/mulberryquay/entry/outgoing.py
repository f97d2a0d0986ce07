"""Builds the request that is forwarded from the one that was admitted."""

from __future__ import annotations

import typing

from mulberryquay.decisions import callers
from mulberryquay.entry import (
    admission,
    attempt,
    authentication,
    competition,
    forwarder,
    header_names,
    http_heads,
    routing,
    service_queue,
    state,
)


class Incoming(typing.NamedTuple):
    """What was read of a request beside its head."""

    request_id: str
    #: The body read so far; complete unless ``remaining_body`` is given.
    body: bytes
    #: Reads and yields the rest of the body.
    remaining_body: typing.Iterator[bytes] | None
    #: When the caller stops waiting for the answer, on the entry's clock.
    deadline: float
    #: Whether another entry relayed the request.
    is_relayed: bool
    #: Counts an answer of a size, unless callers hold too much to keep it.
    holds_answer: typing.Callable[[int], bool]


def build(
    entry_state: state.EntryState,
    head: http_heads.RequestHead,
    admitted: admission.Admission,
    incoming: Incoming,
) -> forwarder.AdmittedRequest:
    """Returns the request with all that the choice of a target needs."""
    criteria = service_queue.TargetCriteria(
        admitted.service,
        admitted.route.service_class,
        admitted.regions,
        incoming.deadline,
        admitted.route.max_attempts,
        may_relay=not incoming.is_relayed,
        caller=(
            admitted.account.caller if admitted.account else callers.ANONYMOUS
        ),
        need=competition.Need(
            admitted.route.name,
            incoming.deadline - admitted.timeout_ms,
            admitted.route.objective_ms,
        ),
    )
    depth = admitted.depth + (not incoming.is_relayed)
    return forwarder.AdmittedRequest(
        criteria,
        attempt.OutgoingRequest(
            head.method,
            head.path,
            _headers(
                entry_state, head, admitted.account, incoming, depth=depth
            ),
            head.framing,
            incoming.body,
            incoming.remaining_body,
            incoming.deadline,
            incoming.request_id.encode('latin-1'),
            incoming.holds_answer,
        ),
        head.find(header_names.NO_RETRY) is None,
        admitted.identity,
        admitted.route.name,
    )


def _headers(
    entry_state: state.EntryState,
    head: http_heads.RequestHead,
    account: routing.ClientAccount | None,
    incoming: Incoming,
    *,
    depth: int,
) -> http_heads.HeaderBlock:
    header_dialect = entry_state.dialect
    headers = [
        (header_dialect.request_id, incoming.request_id.encode('latin-1')),
    ]
    if header_dialect.sends_depth:
        headers.append((header_names.DEPTH, b'%d' % depth))
    match head.framing:
        case http_heads.Framing.CHUNKED:
            headers.append((b'transfer-encoding', b'chunked'))
        case http_heads.Framing.LENGTH:
            headers.append((b'content-length', b'%d' % head.length))
    return authentication.replace_credentials(
        entry_state, head.forwarded_headers, account
    ).with_added(headers)
