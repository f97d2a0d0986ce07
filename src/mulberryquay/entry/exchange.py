"""Serves one request: admission, forwarding, the answer, the account."""

from __future__ import annotations

import math
import typing

import gevent

from mulberryquay.entry import (
    admission,
    answers,
    attempt,
    caller_watch,
    forwarder,
    header_names,
    http_heads,
    keyed,
    messages,
    outcomes,
    request_body,
    request_log,
    request_records,
    routing,
    service_queue,
    state,
)


@typing.final
class Exchange:
    """One request of a caller and what became of it."""

    def __init__(
        self,
        entry_state: state.EntryState,
        connection: typing.Any,
        reader: messages.RequestReader,
        head: http_heads.RequestHead,
        *,
        is_relayed: bool,
    ) -> None:
        """Takes a request whose head was read from ``reader``.

        ``is_relayed`` says that another entry sent it.
        """
        self._is_relayed = is_relayed
        self._state = entry_state
        self._socket = connection
        self._head = head
        self._body = request_body.RequestBody(connection, reader, head)
        self._request_id = _request_id_of(entry_state, head)
        self._started = entry_state.clock.now()
        self._route: routing.Route | None = None
        self._account: routing.ClientAccount | None = None
        self._forwarder: forwarder.Forwarder | None = None
        self._keyed: keyed.KeyedRequest | None = None
        self._status = 0
        self._cause = ''
        self._timeout_ms = 0.0
        self._task = gevent.getcurrent()

    @property
    def connection(self) -> typing.Any:
        """The caller's connection."""
        return self._socket

    def leave(self) -> None:
        """Ends what is of no use to a caller that has left.

        A request that must not run twice and may be with a target goes on
        to its end, so that its account tells what became of it.
        """
        forwarding = self._forwarder
        if forwarding is None or self._keyed is not None:
            return
        forwarding.forget_caller()
        route = self._route
        is_idempotent = route is not None and route.service_class.idempotent
        if is_idempotent or not forwarding.is_sent:
            gevent.kill(self._task, caller_watch.CallerGoneError())

    def serve(self) -> bool:
        """Answers the request; True if the connection may carry another.

        Raises OSError when the caller is gone and AnswerCutShortError when
        the caller must be told by a reset that its answer is not whole.
        """
        outcome = outcomes.Outcome.UNKNOWN
        reason = outcomes.Reason.CALLER_GONE
        try:
            call = self._prepare()
            kept = self._claim(call)
            if kept is None:
                received = self._forward(call)
                keeps_alive = self._relay(received)
                outcome = received.outcome
                reason = received.reason
            else:
                keeps_alive = self._send_kept(kept)
                outcome = outcomes.Outcome.ANSWERED
                reason = outcomes.Reason.KEPT_ANSWER
        except outcomes.RefusedError as refusal:
            outcome = refusal.outcome
            reason = refusal.reason
            self._cause = str(refusal)
            keeps_alive = self._send_refusal(refusal)
        except answers.AnswerCutShortError:
            reason = outcomes.Reason.ANSWER_CUT_SHORT
            raise
        finally:
            self._leave_account()
            self._record(outcome, reason)
        return keeps_alive

    def _claim(self, call: forwarder.Call) -> keyed.KeptAnswer | None:
        """Claims the key of a request that must run at most once."""
        key = self._head.find(header_names.IDEMPOTENCY_KEY)
        is_idempotent = call.criteria.service_class.idempotent
        if key is None or is_idempotent or self._is_relayed:
            return None
        if call.outgoing.rest is not None:
            raise outcomes.not_run(
                outcomes.Reason.KEYED_BODY_TOO_LARGE,
                'expected a body of at most '
                f'{request_body.REPLAY_BYTES} bytes with an Idempotency-Key',
            )
        if not 0 < len(key) <= keyed.MAX_KEY_BYTES:
            raise outcomes.not_run(
                outcomes.Reason.MALFORMED_REQUEST,
                f'got an Idempotency-Key of {len(key)} bytes, expected 1 to '
                f'{keyed.MAX_KEY_BYTES}',
            )
        self._keyed = keyed.KeyedRequest(
            self._state.claims,
            key,
            self._account.name if self._account else '',
            forwarder.fingerprint_of(call.outgoing),
        )
        remaining = call.criteria.deadline - self._state.clock.now()
        return self._keyed.claim(timeout=remaining)

    def _forward(self, call: forwarder.Call) -> outcomes.Received:
        self._forwarder = forwarder.Forwarder(self._state, call)
        if call.outgoing.rest is None:
            self._state.caller_watch.watch(self)
        try:
            return self._forward_keyed(call)
        finally:
            self._state.caller_watch.release(self)

    def _forward_keyed(self, call: forwarder.Call) -> outcomes.Received:
        forwarding = typing.cast(forwarder.Forwarder, self._forwarder)
        try:
            received = forwarding.forward()
        except outcomes.RefusedError as refusal:
            if self._keyed is not None:
                self._keyed.settle_refusal(refusal)
            raise
        if self._keyed is not None:
            self._keyed.settle_answer(received)
        return received

    def _send_kept(self, kept: keyed.KeptAnswer) -> bool:
        self._status = kept.status
        caller = self._caller(is_usable=True)
        http_heads.send_all(self._socket, answers.encode_kept(caller, kept))
        return caller.keeps_alive

    def _relay(self, received: outcomes.Received) -> bool:
        """Passes an answer on; True if the connection stays usable."""
        self._status = received.head.status
        forwarding = typing.cast(forwarder.Forwarder, self._forwarder)
        try:
            keeps_alive = answers.relay(
                self._socket,
                self._caller(is_usable=True),
                received,
            )
        except BaseException:
            forwarding.abandon(received)
            raise
        forwarding.finish(received)
        return keeps_alive and self._body.is_read

    def _prepare(self) -> forwarder.Call:
        admitted = admission.admit(self._state, self._head)
        self._route = admitted.route
        self._timeout_ms = admitted.timeout_ms
        self._enter_account(admitted.account)
        service = admitted.service
        body = self._body.read_beginning(service)
        rest = None
        if not self._body.is_read:
            rest = self._body.read_rest(service)
        deadline = self._started + admitted.timeout_ms
        return forwarder.Call(
            service_queue.TargetCriteria(
                service,
                admitted.route.service_class,
                admitted.regions,
                deadline,
                admitted.route.max_attempts,
                may_relay=not self._is_relayed,
            ),
            attempt.Outgoing(
                self._head.method,
                self._head.path,
                self._outgoing_headers(admitted.depth + (not self._is_relayed)),
                self._head.framing,
                body,
                rest,
                deadline,
                self._request_id.encode('latin-1'),
            ),
            self._head.find(header_names.NO_RETRY) is None,
        )

    def _outgoing_headers(self, depth: int) -> http_heads.Headers:
        head = self._head
        spoken = self._state.dialect
        headers = [
            *head.forwarded_headers,
            (spoken.request_id, self._request_id.encode('latin-1')),
        ]
        if spoken.sends_depth:
            headers.append((header_names.DEPTH, b'%d' % depth))
        match head.framing:
            case http_heads.Framing.CHUNKED:
                headers.append((b'transfer-encoding', b'chunked'))
            case http_heads.Framing.LENGTH:
                headers.append((b'content-length', b'%d' % head.length))
        return headers

    def _caller(self, *, is_usable: bool) -> answers.Caller:
        keeps_alive = (
            is_usable and self._head.keeps_alive and not self._state.is_stopping
        )
        return answers.Caller(
            self._head,
            self._request_id,
            keeps_alive,
            self._state.dialect.request_id,
        )

    def _send_refusal(self, refusal: outcomes.RefusedError) -> bool:
        """Answers with an error; True if the connection stays usable."""
        self._status = refusal.status
        caller = self._caller(is_usable=self._body.is_read)
        if self._forwarder is not None:
            # The level nearest to the failure has spent its retries.
            refusal.headers.append((header_names.NO_RETRY, b'1'))
        self._socket.sendall(answers.encode_refusal(caller, refusal))
        return caller.keeps_alive

    def _enter_account(self, account: routing.ClientAccount | None) -> None:
        if account is None:
            return
        in_flight = self._state.account_in_flight
        running = in_flight.get(account.name, 0)
        if running >= self._account_limit(account):
            raise outcomes.not_run(
                outcomes.Reason.ACCOUNT_LIMIT,
                f'client account {account.name!r} has {running} requests in '
                'flight here, which is its limit at this entry',
            )
        in_flight[account.name] = running + 1
        self._account = account

    def _account_limit(self, account: routing.ClientAccount) -> int:
        """Returns this entry's part of a limit, 1 at least.

        The platform's balancer spreads the requests of an account over the
        entries, so each gets an equal part, rounded up.
        """
        entries = self._state.share_view.member_count
        return math.ceil(account.max_in_flight / entries)

    def _leave_account(self) -> None:
        if self._account is not None:
            self._state.account_in_flight[self._account.name] -= 1

    def _record(
        self,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason,
    ) -> None:
        entry_state = self._state
        entry_state.metrics.count(
            'mulberryquay_requests_total',
            outcome.value,
            reason.value,
        )
        route = self._route
        account = self._account
        forwarding = self._forwarder
        kept = request_records.RequestRecord(
            self._request_id,
            entry_state.clock.wall(),
            self._head.method,
            self._head.path,
            account.name if account else '',
            route.name if route else '',
            route.service_class.name if route else '',
            outcome.value,
            reason.value,
            self._status,
            entry_state.clock.now() - self._started,
            forwarding.tries if forwarding else [],
        )
        entry_state.request_history.add(kept)
        request_log.log_request(
            entry_state,
            kept,
            request_log.Context(
                self._cause,
                bool(route and route.service_class.idempotent),
                self._timeout_ms,
                forwarding.bases if forwarding else (),
            ),
        )


def _request_id_of(
    entry_state: state.EntryState,
    head: http_heads.RequestHead,
) -> str:
    """Returns the caller's name for its request, or a new one."""
    if entry_state.dialect.caller_sets_request_id:
        named = head.find(entry_state.dialect.request_id)
        if named:
            return named.decode('latin-1')
    return entry_state.next_request_id()
