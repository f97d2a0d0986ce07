"""Serves one request: admission, forwarding, the answer, the record."""

from __future__ import annotations

import logging
import typing

import gevent
from gevent import event

from mulberryquay.coordination import wait_limit
from mulberryquay.entry import (
    account_slots,
    admission,
    answer_row,
    answers,
    caller_watch,
    forwarder,
    header_names,
    http_heads,
    keyed,
    outcomes,
    outgoing,
    request_body,
    request_log,
    request_records,
    state,
)


_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class Exchange:
    """One request of a caller, from its head to its recorded outcome."""

    def __init__(
        self,
        entry_state: state.EntryState,
        connection: typing.Any,
        head: http_heads.RequestHead,
        body: request_body.RequestBody,
        turn: answer_row.Turn,
        *,
        is_relayed: bool,
    ) -> None:
        """Prepares to serve the request with ``head`` and ``body``.

        Its answer is sent in its ``turn``. ``is_relayed`` says that another
        entry relayed it.
        """
        self._turn = turn
        #: Set once the whole request was read from the connection.
        self.body_ended = event.Event()
        self._is_relayed = is_relayed
        self._state = entry_state
        self._socket = connection
        self._head = head
        self._body = body
        self._request_id = entry_state.request_id_from(
            head.find(entry_state.dialect.request_id)
        )
        self._started = entry_state.clock.now()
        self._admission: admission.Admission | None = None
        self._account_slot: account_slots.AccountSlot | None = None
        self._forwarder: forwarder.Forwarder | None = None
        self._keyed_request: keyed.KeyedRequest | None = None
        self._outcome = outcomes.Outcome.UNKNOWN
        self._reason = outcomes.Reason.CALLER_GONE
        self._status = 0
        self._cause = ''

    @property
    def connection(self) -> typing.Any:
        """The caller's connection."""
        return self._socket

    @property
    def _account_name(self) -> str:
        """Name of the client account, empty if the request has none."""
        return self._account_slot.account if self._account_slot else ''

    @property
    def _timeout_ms(self) -> float:
        """The time for the request, 0 before it is admitted."""
        return self._admission.timeout_ms if self._admission else 0

    @property
    def _is_idempotent(self) -> bool:
        """Whether the request was admitted and may run twice."""
        admitted = self._admission
        return admitted is not None and admitted.route.service_class.idempotent

    def handle_caller_gone(self) -> None:
        """Cancels the request after its caller closed the connection.

        A request that must not run twice and may have reached a target
        continues, so that its real outcome is recorded. One with a claimed
        key continues in any case, so that its claim is settled.
        """
        active_forwarder = self._forwarder
        if active_forwarder is None or self._keyed_request is not None:
            return
        active_forwarder.stop_retrying()
        if self._is_idempotent or not active_forwarder.has_target:
            gevent.kill(self._turn.task, caller_watch.CallerGoneError())

    def serve(self) -> bool:
        """Answers the request; returns whether the connection is reusable.

        Raises OSError when the caller is gone, AnswerCutShortError when the
        connection must be reset because the answer is incomplete, and
        BehindCloseError when an answer ahead closes the connection.
        """
        try:
            return self._answer()
        except BaseException as error:
            self._note_failure(error)
            raise
        finally:
            self._body.hold(-self._body.held_bytes)
            if self._account_slot is not None:
                self._account_slot.release()
            self._record_outcome()

    def _answer(self) -> bool:
        try:
            request = self._admit()
            kept = self._claim_key(request)
            if kept is not None:
                return self._send_kept_answer(kept)
            received = self._forward(request)
            keeps_alive = self._send_answer(received)
        except outcomes.RefusedError as refusal:
            self._outcome = refusal.outcome
            self._reason = refusal.reason
            self._cause = str(refusal)
            return self._send_refusal(refusal)
        self._outcome = received.outcome
        self._reason = received.reason
        return keeps_alive

    def _note_failure(self, error: BaseException) -> None:
        """Notes why no answer, or not all of it, was sent."""
        self._outcome = outcomes.Outcome.UNKNOWN
        self._cause = str(error)
        match error:
            case answers.AnswerCutShortError():
                self._reason = error.reason
            case answer_row.BehindCloseError():
                self._reason = outcomes.Reason.BEHIND_CLOSE
                if self._forwarder is None or not self._forwarder.has_sent:
                    self._outcome = outcomes.Outcome.NOT_RUN
            case OSError() | gevent.GreenletExit():
                self._reason = outcomes.Reason.CALLER_GONE
            case _:
                self._reason = outcomes.Reason.INTERNAL_ERROR
                self._cause = repr(error)
                _LOG.error(
                    'request ended by an unexpected error', exc_info=error
                )

    def _claim_key(
        self, request: forwarder.AdmittedRequest
    ) -> keyed.KeptAnswer | None:
        """Claims the idempotency key of a request, if it needs one.

        Returns the kept answer of an earlier run, None to run it now.
        """
        key = self._head.find(header_names.IDEMPOTENCY_KEY)
        is_idempotent = request.criteria.service_class.idempotent
        if key is None or is_idempotent or self._is_relayed:
            return None
        if request.outgoing.remaining_body is not None:
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
        self._keyed_request = keyed.KeyedRequest(
            self._state.claims,
            key,
            self._account_name,
            forwarder.fingerprint_of(request.outgoing),
        )
        remaining = request.criteria.deadline - self._state.clock.now()
        return self._keyed_request.claim(timeout=remaining)

    def _forward(self, request: forwarder.AdmittedRequest) -> outcomes.Received:
        self._forwarder = forwarder.Forwarder(self._state, request)
        if request.outgoing.remaining_body is None:
            self._state.caller_watch.watch(self)
        try:
            return self._forward_and_settle(request)
        finally:
            self._state.caller_watch.release(self)

    def _forward_and_settle(
        self, request: forwarder.AdmittedRequest
    ) -> outcomes.Received:
        active_forwarder = typing.cast(forwarder.Forwarder, self._forwarder)
        try:
            received = active_forwarder.forward()
        except outcomes.RefusedError as refusal:
            if self._keyed_request is not None:
                self._keyed_request.settle_refusal(refusal)
            raise
        if self._keyed_request is not None:
            self._keyed_request.settle_answer(received)
        return received

    def _send_kept_answer(self, kept: keyed.KeptAnswer) -> bool:
        self._turn.wait()
        self._status = kept.status
        context = self._answer_context(is_reusable=True)
        self._begin_sending()
        http_heads.send_all(
            self._socket,
            answers.encode_kept_answer(context, kept),
            self._body.hold_unsent,
        )
        self._outcome = outcomes.Outcome.ANSWERED
        self._reason = outcomes.Reason.KEPT_ANSWER
        return context.keeps_alive

    def _send_answer(self, received: outcomes.Received) -> bool:
        """Sends a target's answer; returns whether to keep the connection."""
        active_forwarder = typing.cast(forwarder.Forwarder, self._forwarder)
        if received.body is not None:
            # The target is free again however slowly the caller reads.
            active_forwarder.finish(received)
        self._wait_for_turn(received)
        self._status = received.head.status
        if received.body is not None:
            self._begin_sending()
        try:
            keeps_alive = answers.send_answer(
                self._socket,
                self._answer_context(is_reusable=True),
                received,
                self._wait_limit(),
                self._body.hold_unsent,
            )
        except answers.AnswerCutShortError as error:
            if not error.is_by_caller:
                active_forwarder.record_broken_answer(error.reason)
            self._abandon(received)
            raise
        except BaseException:
            self._abandon(received)
            raise
        if received.body is None:
            active_forwarder.finish(received)
        return keeps_alive and self._body.is_read

    def _begin_sending(self) -> None:
        """Notes that only the caller can end the wait from now on."""
        self._turn.is_sending = True
        self._body.note_progress()

    def _wait_for_turn(self, received: outcomes.Received) -> None:
        """Returns once all answers ahead are sent.

        A streamed answer waits at its target, at most until its deadline;
        then this raises RefusedError.
        """
        if received.body is not None:
            self._turn.wait()
            return
        try:
            self._turn.wait(timeout=self._wait_limit().remaining)
        except answer_row.TurnTimeoutError as error:
            self._abandon(received)
            raise outcomes.unknown(
                outcomes.Reason.DEADLINE, str(error)
            ) from error
        except BaseException:
            self._abandon(received)
            raise

    def _abandon(self, received: outcomes.Received) -> None:
        """Releases the target of an answer that is not sent to its end."""
        if self._forwarder is not None and received.body is None:
            self._forwarder.abandon(received)

    def _wait_limit(self) -> wait_limit.WaitLimit:
        return wait_limit.WaitLimit(
            self._state.clock, self._started + self._timeout_ms
        )

    def _admit(self) -> forwarder.AdmittedRequest:
        admitted = admission.admit(
            self._state, self._head, is_relayed=self._is_relayed
        )
        self._admission = admitted
        if admitted.account is not None:
            self._account_slot = self._state.account_slots.acquire(
                admitted.account
            )
        service = admitted.service
        admission.check_time_before_stop(self._state, admitted)
        if not self._is_relayed:
            admission.take_permit(self._state, admitted)
        limit = self._wait_limit()
        self._wait_before_run(limit)
        body = self._body.read_replayable(service, limit)
        if self._body.is_read:
            self.body_ended.set()
        remaining_body = None
        if not self._body.is_read:
            remaining_body = self._body.read_remaining(service, limit)
        return outgoing.build(
            self._state,
            self._head,
            admitted,
            outgoing.Incoming(
                self._request_id,
                body,
                remaining_body,
                limit.deadline,
                is_relayed=self._is_relayed,
                holds_answer=self._body.holds_answer,
            ),
        )

    def _wait_before_run(self, limit: wait_limit.WaitLimit) -> None:
        """Waits for the answers ahead if the request must not run beside.

        What stands behind an answer that closes the connection is sent again,
        so a request that must not run twice runs once none can.
        """
        if self._is_idempotent and self._body.is_read:
            return
        try:
            self._turn.wait(timeout=limit.remaining)
        except answer_row.TurnTimeoutError as error:
            raise outcomes.not_run(
                outcomes.Reason.DEADLINE, str(error)
            ) from error

    def _answer_context(self, *, is_reusable: bool) -> answers.AnswerContext:
        keeps_alive = (
            is_reusable
            and self._head.keeps_alive
            and not (self._state.planned_stop.has_begun and self._turn.is_last)
        )
        return answers.AnswerContext(
            self._head,
            self._request_id,
            keeps_alive,
            self._state.dialect.request_id,
        )

    def _send_refusal(self, refusal: outcomes.RefusedError) -> bool:
        """Sends an error; returns whether to keep the connection."""
        self._turn.wait()
        self._status = refusal.status
        context = self._answer_context(is_reusable=self._body.is_read)
        if self._forwarder is not None:
            # This entry has made the retries; the caller must not add more.
            refusal.headers.append((header_names.NO_RETRY, b'1'))
        self._begin_sending()
        self._socket.sendall(answers.encode_refusal(context, refusal))
        return context.keeps_alive

    def _record_outcome(self) -> None:
        entry_state = self._state
        entry_state.metrics.count(
            'mulberryquay_requests_total',
            self._outcome.value,
            self._reason.value,
        )
        route = self._admission.route if self._admission else None
        active_forwarder = self._forwarder
        record = request_records.shortened(
            request_records.RequestRecord(
                self._request_id,
                entry_state.clock.wall(),
                self._head.method,
                self._head.path,
                self._account_name,
                route.name if route else '',
                route.service_class.name if route else '',
                self._outcome.value,
                self._reason.value,
                self._status,
                entry_state.clock.now() - self._started,
                active_forwarder.attempts if active_forwarder else [],
            )
        )
        entry_state.record_request(
            record, self._admission.account if self._admission else None
        )
        request_log.log_request(
            entry_state,
            record,
            request_log.LogContext(
                self._cause,
                self._is_idempotent,
                self._timeout_ms,
                active_forwarder.target_snapshots if active_forwarder else (),
            ),
        )
