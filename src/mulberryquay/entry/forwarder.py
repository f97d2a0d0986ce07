"""Forwards a request, with retries, until it is answered or refused."""

from __future__ import annotations

import typing

import xxhash

from mulberryquay.coordination import crash_guard
from mulberryquay.entry import (
    attempt,
    attempt_results,
    authentication,
    crash_tracker,
    header_names,
    http_heads,
    outcomes,
    request_log,
    request_records,
    service_queue,
    state,
    targets,
    version_reports,
)


_HARMLESS: typing.Final = crash_guard.Verdict.HARMLESS

#: Least remaining time for another attempt; no target answers faster.
MIN_ATTEMPT_MS: typing.Final = 20.0


class AdmittedRequest(typing.NamedTuple):
    """A request that passed admission."""

    criteria: service_queue.TargetCriteria
    outgoing: attempt.OutgoingRequest
    #: Whether the caller allows retries.
    may_retry: bool
    identity: authentication.Identity = authentication.ANONYMOUS
    #: Name of the request's route.
    route: str = ''


@typing.final
class Forwarder:
    """Forwards one request and records each attempt."""

    def __init__(
        self, entry_state: state.EntryState, request: AdmittedRequest
    ) -> None:
        """Prepares to forward ``request``."""
        self._state = entry_state
        self._request = request
        self._queue = entry_state.balancer.queue_for(
            request.criteria.service.name
        )
        self._budget = entry_state.retry_budget_for(
            request.criteria.service.name
        )
        self._target: targets.TargetState | None = None
        self._attempt: attempt.Attempt | None = None
        self._attempt_started = 0.0
        self._has_failed = False
        #: Time to the answer of the last attempt, 0 without one.
        self._served_ms = 0.0
        self.attempts: list[request_records.AttemptRecord] = []
        #: What was known of the target of each attempt.
        self.target_snapshots: list[request_log.TargetSnapshot] = []
        #: Whether an attempt so far may have run the request.
        self.may_have_run = False
        self._is_caller_gone = False
        #: Whether the last attempt went to another entry.
        self._was_relayed = False

    @property
    def has_target(self) -> bool:
        """Whether the request holds a target, which may be running it."""
        return self._target is not None

    @property
    def has_sent(self) -> bool:
        """Whether an attempt was begun, so that the request may have run."""
        return self._attempt is not None

    @property
    def _crash_guard(self) -> crash_guard.CrashGuard:
        return self._state.crashes.guard_for(
            is_reported=self._is_crash_reported()
        )

    def stop_retrying(self) -> None:
        """Prevents further attempts, because the caller is gone."""
        self._is_caller_gone = True

    def forward(self) -> outcomes.Received:
        """Returns an answer, which must be passed to `finish` or `abandon`.

        Raises RefusedError, whose outcome covers all attempts together.
        """
        self._check_not_blocked()
        self._budget.deposit()
        excluded: frozenset[str] = frozenset()
        result = self._run_attempt(self._acquire(excluded))
        while self._should_retry(result):
            self._discard_answer(result)
            excluded |= {self.attempts[-1].target}
            try:
                target = self._acquire(excluded)
            except outcomes.RefusedError as refusal:
                raise self._refusal_after_failure(result, refusal) from refusal
            result = self._run_attempt(target)
        return self._answer_or_raise(result)

    def _acquire(self, excluded: frozenset[str]) -> targets.TargetState:
        criteria = self._request.criteria

        def refresh() -> None:  # noqa: WPS430
            if self._state.load_prober is not None:
                self._state.load_prober.refresh_reports(
                    self._queue.eligible_targets(criteria, excluded),
                )

        refresh()
        target = self._queue.acquire(criteria, excluded, refresh)
        try:
            authentication.check_still_allowed(
                self._state, self._request.identity
            )
            # It may have waited meanwhile.
            self._check_not_blocked()
        except outcomes.RefusedError:
            self._queue.release(target)
            raise
        return target

    def finish(self, received: outcomes.Received) -> None:
        """Releases the target after its answer was read completely."""
        if self._attempt is not None:
            self._attempt.finish(received)
        self._release_target()

    def abandon(self, received: outcomes.Received) -> None:
        """Releases the target of an answer that was not read completely."""
        if self._attempt is not None:
            self._attempt.abandon(received)
        self._release_target()

    def record_broken_answer(self, reason: outcomes.Reason) -> None:
        """Records a target that did not send its answer to the end."""
        target = self._target
        if target is None:
            return
        if reason is outcomes.Reason.DEADLINE:
            waited = self._state.clock.now() - self._attempt_started
            target.record_timeout(waited)
        else:
            target.record_failure(reason)

    def _refusal_after_failure(
        self,
        result: outcomes.AttemptResult,
        refusal: outcomes.RefusedError,
    ) -> outcomes.RefusedError:
        """Returns the error when no target is left for another attempt."""
        new_error = outcomes.unknown if self.may_have_run else outcomes.not_run
        reason = refusal.reason
        if reason in outcomes.REASONS_BEFORE_TARGETS:
            reason = attempt_results.name_and_reason(result)[1]
        return new_error(
            reason,
            f'{len(self.attempts)} attempts failed; {refusal}',
            retry_after_s=refusal.retry_after_s,
        )

    def _run_attempt(
        self, target: targets.TargetState
    ) -> outcomes.AttemptResult:
        """Makes one attempt; releases the target unless it answered."""
        started = self._state.clock.now()
        self._attempt_started = started
        self._target = target
        self._was_relayed = target.is_peer
        self._count_rate_limited(target)
        self._record_choice(target, started)
        self._has_failed = False
        self._served_ms = 0.0
        self._attempt = attempt.Attempt(
            target,
            self._request.outgoing,
            self._state.clock,
            self._state.watchdog,
        )
        result: outcomes.AttemptResult = outcomes.NotSent(outcomes.Reason.NONE)
        try:
            result = self._attempt.run(self._attempt_headers(target, started))
        finally:
            self._has_failed = attempt_results.has_failed(result)
            if not isinstance(result, outcomes.Received):
                self._release_target()
        duration = self._state.clock.now() - started
        if isinstance(result, outcomes.Received):
            self._served_ms = duration
        self._record_attempt(target, result, duration)
        return result

    def _record_choice(self, target: targets.TargetState, now: float) -> None:
        snapshot = request_log.snapshot_of(
            target,
            now,
            control_age_ms=self._state.control_age.milliseconds,
        )
        self.target_snapshots.append(snapshot)
        if self._state.load_prober is not None:
            self._state.load_prober.begin_call(target)
        if not target.is_peer:
            self._state.metrics.count(
                'mulberryquay_choices_total',
                str(snapshot.tier),
                snapshot.report_state,
            )

    def _count_rate_limited(self, target: targets.TargetState) -> None:
        if target.rate_limit.per_s is not None:
            self._state.metrics.count(
                'mulberryquay_rate_limited_tries_total',
                'retry' if self.attempts else 'first',
            )

    def _attempt_headers(
        self,
        target: targets.TargetState,
        now: float,
    ) -> http_heads.Headers:
        remaining = max(0, int(self._request.criteria.deadline - now))
        header_dialect = self._state.dialect
        headers = [(header_dialect.timeout, b'%d' % remaining)]
        if header_dialect.expected_target and not target.is_peer:
            name = target.row.name.encode()
            headers.append((header_dialect.expected_target, name))
        if not header_dialect.sends_depth and not target.is_peer:
            return headers
        if self.attempts or not self._request.may_retry:
            headers.append((header_names.NO_RETRY, b'1'))
        return headers

    def _record_attempt(
        self,
        target: targets.TargetState,
        result: outcomes.AttemptResult,
        duration: float,
    ) -> None:
        result_name, reason = attempt_results.name_and_reason(result)
        self._queue.record_result(
            self._request.criteria,
            target,
            result,
            load=self.target_snapshots[-1].known_load,
            duration=duration,
        )
        relayed_as = ''
        if isinstance(result, outcomes.Received):
            relayed_as = result.relayed_as
        self._state.metrics.count(
            'mulberryquay_tries_total',
            result_name,
            reason.value,
        )
        self.attempts.append(
            request_records.AttemptRecord(
                target.row.name,
                target.row.domain,
                target.row.incarnation,
                result_name,
                reason.value,
                duration,
                relayed_as,
                target.row.version,
            ),
        )
        self._state.version_reports.record(
            version_reports.Attempted(
                target,
                self._request.route,
                result,
                self._attempt_started,
                duration,
            )
        )
        if isinstance(result, outcomes.Lost):
            self.may_have_run = True
            is_lost = result.reason is outcomes.Reason.CONNECTION_LOST
            if is_lost and not target.is_peer:
                self._record_lost_connection(target, duration)

    def _should_retry(self, result: outcomes.AttemptResult) -> bool:
        """Whether to retry; withdraws the retry from the budget."""
        if not self._is_retryable(result) or not self._has_attempts_left():
            return False
        reason = attempt_results.name_and_reason(result)[1].value
        if self.may_have_run and self._verdict() is not _HARMLESS:
            self._state.metrics.count(
                'mulberryquay_retries_suspected_total', reason
            )
            return False
        is_free = self._was_relayed and attempt_results.reached_no_target(
            result
        )
        is_granted = is_free or self._budget.withdraw()
        request_log.log_retry(
            self._request.outgoing.request_id,
            self.attempts[-1],
            is_granted=is_granted,
        )
        if not is_granted:
            self._state.metrics.count(
                'mulberryquay_retries_denied_total',
                reason,
            )
            return False
        self._state.metrics.count('mulberryquay_retries_total', reason)
        return True

    def _is_retryable(self, result: outcomes.AttemptResult) -> bool:
        outgoing = self._request.outgoing
        is_idempotent = self._request.criteria.service_class.idempotent
        match result:
            case outcomes.Received(head) if (
                head.status not in outcomes.RETRIED_STATUSES
            ):
                return False
            case outcomes.Received(head):
                is_resendable = (
                    is_idempotent and outgoing.remaining_body is None
                )
                is_final = bool(result.relayed_as) or (
                    head.find(header_names.NO_RETRY) is not None
                )
                return is_resendable and not is_final
            case outcomes.NotSent(outcomes.Reason.DEADLINE):
                return False
            case outcomes.NotSent():
                return True
            case outcomes.Shed():
                return outgoing.remaining_body is None
            case outcomes.Lost():
                return is_idempotent and outgoing.remaining_body is None

    def _has_attempts_left(self) -> bool:
        if self._is_caller_gone or self._state.planned_stop.has_ended:
            return False
        return (
            self._request.may_retry
            and len(self.attempts) < self._request.criteria.max_attempts
            and self._request.criteria.deadline - self._state.clock.now()
            >= MIN_ATTEMPT_MS
        )

    def _answer_or_raise(
        self, result: outcomes.AttemptResult
    ) -> outcomes.Received:
        match result:
            case outcomes.Received():
                if not self._crash_guard.is_idle:
                    self._clear_crashes()
                return result
            case outcomes.Lost(reason):
                raise outcomes.unknown(
                    reason,
                    'the target may have received the request but returned '
                    'no usable answer; the request may have run',
                )
            case outcomes.NotSent(reason) | outcomes.Shed(reason):
                new_error = outcomes.not_run
                if self.may_have_run:
                    new_error = outcomes.unknown
                raise new_error(reason, 'no target accepted the request')

    def _discard_answer(self, result: outcomes.AttemptResult) -> None:
        if isinstance(result, outcomes.Received):
            self.may_have_run = True
            if result.body is None:
                self.abandon(result)
            else:
                self.finish(result)

    def _release_target(self) -> None:
        target = self._target
        if target is not None:
            self._target = None
            if self._state.load_prober is not None:
                self._state.load_prober.end_call(
                    target, self._served_ms, has_failed=self._has_failed
                )
            self._queue.release(target)

    def _check_not_blocked(self) -> None:
        if self._verdict() is crash_guard.Verdict.BLOCKED:
            raise outcomes.not_run(
                outcomes.Reason.BREAKS_TARGETS,
                'targets repeatedly failed while they ran this request; it '
                'is refused for a limited time',
                retry_after_s=60,
            )

    def _verdict(self) -> crash_guard.Verdict:
        guard = self._crash_guard
        if guard.is_idle:
            return _HARMLESS
        return guard.verdict_of(self._fingerprint())

    def _fingerprint(self) -> bytes:
        """Returns a digest of the request and of the account that sent it.

        An answer to another account must not refute that it crashes targets.
        """
        digest = fingerprint_of(self._request.outgoing)
        account = self._request.identity.account
        if account is None:
            return digest
        return xxhash.xxh3_128_digest(digest + account.name.encode())

    def _is_crash_reported(self) -> bool:
        """Whether control hosts may learn that the request crashes targets.

        A request with home regions must not leave them, not even as a
        digest, so each entry counts its crashes alone.
        """
        return self._request.criteria.regions is None

    def _record_lost_connection(
        self,
        target: targets.TargetState,
        duration: float,
    ) -> None:
        self._state.crashes.record_lost_connection(
            crash_tracker.LostConnection(
                self._fingerprint(),
                target.row.name,
                target.pool.address,
                ran_for=duration,
                is_reported=self._is_crash_reported(),
            )
        )

    def _clear_crashes(self) -> None:
        self._state.crashes.clear(
            self._fingerprint(), is_reported=self._is_crash_reported()
        )


def fingerprint_of(outgoing: attempt.OutgoingRequest) -> bytes:
    """Returns a digest that identifies requests with the same content."""
    digest = xxhash.xxh3_128()
    digest.update(outgoing.method)
    digest.update(outgoing.path)
    digest.update(outgoing.body)
    return digest.digest()
