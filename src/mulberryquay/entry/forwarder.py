"""Tries a request on targets until it is answered or must be refused."""

from __future__ import annotations

import typing

import xxhash

from mulberryquay.entry import (
    attempt,
    header_names,
    http_heads,
    outcomes,
    request_log,
    request_records,
    service_queue,
    state,
    targets,
)


#: No target answers in less, so with less time left no further one is tried.
MIN_TRY_MS: typing.Final = 20.0


class Call(typing.NamedTuple):
    """A request that has passed admission."""

    criteria: service_queue.TargetCriteria
    outgoing: attempt.Outgoing
    #: Whether the caller allows resends.
    may_retry: bool


@typing.final
class Forwarder:
    """Forwards one request; keeps what was tried for its account."""

    def __init__(self, entry_state: state.EntryState, call: Call) -> None:
        """Prepares to forward ``call``."""
        self._state = entry_state
        self._call = call
        self._queue = entry_state.balancer.queue_for(call.criteria.service.name)
        self._budget = entry_state.retry_budget_for(call.criteria.service.name)
        self._target: targets.TargetState | None = None
        self._attempt: attempt.Attempt | None = None
        self.tries: list[request_records.AttemptRecord] = []
        #: What was known of the target of each try.
        self.bases: list[request_log.Basis] = []
        #: Whether some try may have run the request.
        self.may_have_run = False
        self._is_caller_gone = False
        #: Whether the last try went to another entry.
        self._was_relayed = False

    @property
    def is_sent(self) -> bool:
        """Whether a target may have the request now."""
        return self._target is not None

    def forget_caller(self) -> None:
        """Ends further tries: nobody waits for the answer."""
        self._is_caller_gone = True

    def forward(self) -> outcomes.Received:
        """Returns an answer; `finish` or `abandon` must follow.

        Raises RefusedError, whose outcome holds for all tries together.
        """
        self._check_not_blocked()
        self._budget.deposit()
        excluded: frozenset[str] = frozenset()
        ended = self._try(self._acquire(excluded))
        while self._retries(ended):
            self._release_answer(ended)
            excluded |= {self.tries[-1].target}
            try:
                target = self._acquire(excluded)
            except outcomes.RefusedError as refusal:
                raise self._refusal_after(ended, refusal) from refusal
            ended = self._try(target)
        return self._conclude(ended)

    def _acquire(self, excluded: frozenset[str]) -> targets.TargetState:
        criteria = self._call.criteria
        if self._state.load_prober is not None:
            self._state.load_prober.refresh_reports(
                self._queue.eligible_targets(criteria, excluded),
            )
        return self._queue.acquire(criteria, excluded)

    def finish(self, received: outcomes.Received) -> None:
        """Ends a call whose answer was read to its end."""
        if self._attempt is not None:
            self._attempt.finish(received)
        self._release()

    def abandon(self, received: outcomes.Received) -> None:
        """Ends a call whose answer was not read to its end."""
        if self._attempt is not None:
            self._attempt.abandon(received)
        self._release()

    def _refusal_after(
        self,
        ended: outcomes.Attempt,
        refusal: outcomes.RefusedError,
    ) -> outcomes.RefusedError:
        """Returns what to say when no target is left for another try."""
        make = outcomes.unknown if self.may_have_run else outcomes.not_run
        reason = refusal.reason
        if reason is outcomes.Reason.NO_TARGET:
            reason = _describe(ended)[1]
        return make(reason, f'{len(self.tries)} tries failed; {refusal}')

    def _try(self, target: targets.TargetState) -> outcomes.Attempt:
        """Runs one try; a target without an answer is released."""
        started = self._state.clock.now()
        self._target = target
        self._was_relayed = target.is_peer
        self.bases.append(request_log.basis_of(target, started))
        self._attempt = attempt.Attempt(
            target,
            self._call.outgoing,
            self._state.clock,
            self._state.watchdog,
        )
        ended: outcomes.Attempt = outcomes.NotSent(outcomes.Reason.NONE)
        try:
            ended = self._attempt.run(self._try_headers(target, started))
        finally:
            if not isinstance(ended, outcomes.Received):
                self._release()
        self._record(target, ended, self._state.clock.now() - started)
        return ended

    def _try_headers(
        self,
        target: targets.TargetState,
        now: float,
    ) -> http_heads.Headers:
        remaining = max(0, int(self._call.criteria.deadline - now))
        spoken = self._state.dialect
        headers = [(spoken.timeout, b'%d' % remaining)]
        if spoken.expected_target and not target.is_peer:
            name = target.row.name.encode()
            headers.append((spoken.expected_target, name))
        if not spoken.sends_depth and not target.is_peer:
            return headers
        if self.tries or not self._call.may_retry:
            headers.append((header_names.NO_RETRY, b'1'))
        return headers

    def _record(
        self,
        target: targets.TargetState,
        ended: outcomes.Attempt,
        duration: float,
    ) -> None:
        result, reason = _describe(ended)
        relayed_as = ''
        if isinstance(ended, outcomes.Received):
            relayed_as = ended.relayed_as
        self._state.metrics.count(
            'mulberryquay_tries_total',
            result,
            reason.value,
        )
        self.tries.append(
            request_records.AttemptRecord(
                target.row.name,
                target.row.domain,
                target.row.incarnation,
                result,
                reason.value,
                duration,
                relayed_as,
            ),
        )
        if isinstance(ended, outcomes.Lost):
            self.may_have_run = True
            is_broken = ended.reason is outcomes.Reason.CONNECTION_LOST
            if is_broken and not target.is_peer:
                self._report_broken(target, duration)

    def _retries(self, ended: outcomes.Attempt) -> bool:
        """Whether another try is allowed; takes it from the budget."""
        if not self._is_repeatable(ended) or not self._has_tries_left():
            return False
        reason = _describe(ended)[1].value
        # An entry that could not be reached has cost no target anything.
        is_free = self._was_relayed and isinstance(ended, outcomes.NotSent)
        is_granted = is_free or self._budget.withdraw()
        request_log.log_retry(
            self._call.outgoing.request_id,
            self.tries[-1],
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

    def _is_repeatable(self, ended: outcomes.Attempt) -> bool:
        outgoing = self._call.outgoing
        is_idempotent = self._call.criteria.service_class.idempotent
        match ended:
            case outcomes.Received(head) if head.status not in outcomes.RETRIED:
                return False
            case outcomes.Received(head):
                is_resendable = is_idempotent and outgoing.rest is None
                is_final = bool(ended.relayed_as) or (
                    head.find(header_names.NO_RETRY) is not None
                )
                return is_resendable and not is_final
            case outcomes.NotSent(outcomes.Reason.DEADLINE):
                return False
            case outcomes.NotSent():
                return True
            case outcomes.Shed():
                return outgoing.rest is None
            case outcomes.Lost():
                return is_idempotent and outgoing.rest is None

    def _has_tries_left(self) -> bool:
        return (
            self._call.may_retry
            and not self._is_caller_gone
            and len(self.tries) < self._call.criteria.max_attempts
            and self._call.criteria.deadline - self._state.clock.now()
            >= MIN_TRY_MS
        )

    def _conclude(self, ended: outcomes.Attempt) -> outcomes.Received:
        match ended:
            case outcomes.Received():
                if not self._state.guard.is_idle:
                    self._clear_breakages()
                return ended
            case outcomes.Lost(reason):
                raise outcomes.unknown(
                    reason,
                    'the target was reached but gave no whole answer; the '
                    'request may have run',
                )
            case outcomes.NotSent(reason) | outcomes.Shed(reason):
                make = outcomes.not_run
                if self.may_have_run:
                    make = outcomes.unknown
                raise make(reason, 'no target took the request')

    def _release_answer(self, ended: outcomes.Attempt) -> None:
        if isinstance(ended, outcomes.Received):
            self.may_have_run = True
            if ended.body is None:
                self.abandon(ended)
            else:
                self.finish(ended)

    def _release(self) -> None:
        target = self._target
        if target is not None:
            self._target = None
            self._queue.release(target)

    def _check_not_blocked(self) -> None:
        guard = self._state.guard
        if not guard.is_idle and guard.is_blocked(self._fingerprint()):
            raise outcomes.not_run(
                outcomes.Reason.BREAKS_TARGETS,
                'this request broke the targets that ran it; it is refused '
                'for a while',
                retry_after_s=60,
            )

    def _reporter(self) -> state.CrashReporter | None:
        """Returns what tells control hosts of crashes, if it may.

        One with home regions stays there, even as a digest; its crashes are
        counted by each entry alone.
        """
        if self._call.criteria.regions is not None:
            return None
        return self._state.crash_reporter

    def _fingerprint(self) -> bytes:
        return fingerprint_of(self._call.outgoing)

    def _report_broken(
        self,
        target: targets.TargetState,
        duration: float,
    ) -> None:
        fingerprint = self._fingerprint()
        name = target.row.name
        self._state.guard.record(fingerprint, name, ran_for=duration)
        reporter = self._reporter()
        if reporter is not None:
            reporter.report_broken(
                fingerprint,
                name,
                ran_for=duration,
            )

    def _clear_breakages(self) -> None:
        fingerprint = self._fingerprint()
        is_cleared = self._state.guard.clear(fingerprint)
        reporter = self._reporter()
        if is_cleared and reporter is not None:
            reporter.report_cleared(fingerprint)


def fingerprint_of(outgoing: attempt.Outgoing) -> bytes:
    """Returns a digest of what makes a request the same request."""
    digest = xxhash.xxh3_128()
    digest.update(outgoing.method)
    digest.update(outgoing.path)
    digest.update(outgoing.body)
    return digest.digest()


def _describe(ended: outcomes.Attempt) -> tuple[str, outcomes.Reason]:
    match ended:
        case outcomes.Received(head):
            if ended.outcome is not outcomes.Outcome.ANSWERED:
                return 'received', ended.reason
            if head.status in outcomes.UNAVAILABLE:
                return 'received', outcomes.Reason.TARGET_UNAVAILABLE
            return 'received', outcomes.Reason.NONE
        case outcomes.NotSent(reason):
            return 'not-sent', reason
        case outcomes.Shed(reason):
            return 'shed', reason
        case outcomes.Lost(reason):
            return 'lost', reason
