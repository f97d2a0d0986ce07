"""Outcomes of requests, results of attempts, and the error for refusals."""

from __future__ import annotations

import dataclasses
import enum
import typing

from mulberryquay.coordination import errors
from mulberryquay.entry import http_heads

if typing.TYPE_CHECKING:
    from mulberryquay.entry import connections


#: Statuses that signal a problem of one target rather than of the request.
UNAVAILABLE_STATUSES: typing.Final = frozenset((502, 503, 504))


#: Statuses after which an idempotent request is retried on another target.
RETRIED_STATUSES: typing.Final = UNAVAILABLE_STATUSES | frozenset((500,))


class Outcome(enum.Enum):
    """Whether the request ran; sent to the caller as a header."""

    #: The answer is complete and comes from the target.
    ANSWERED = 'answered'
    #: The request certainly did not run.
    NOT_RUN = 'not-run'
    #: The request may have run.
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Why a request was refused, retried or lost; also a metric label."""

    NONE = 'none'
    MALFORMED_REQUEST = 'malformed-request'
    HEAD_TOO_LARGE = 'head-too-large'
    BODY_TOO_LARGE = 'body-too-large'
    REQUEST_CUT_SHORT = 'request-cut-short'
    REQUEST_TIMEOUT = 'request-timeout'
    MEMORY_LIMIT = 'memory-limit'
    NO_CONFIGURATION = 'no-configuration'
    NO_ROUTE = 'no-route'
    UNKNOWN_ACCOUNT = 'unknown-account'
    UNKNOWN_KEY = 'unknown-key'
    REVOKED_KEY = 'revoked-key'
    OVER_RATE = 'over-rate'
    NO_PERMIT = 'no-permit'
    ACCOUNT_LIMIT = 'account-limit'
    OUTSIDE_HOME_REGIONS = 'outside-home-regions'
    NO_TARGET = 'no-target'
    OVERLOADED = 'overloaded'
    QUEUE_TIMEOUT = 'queue-timeout'
    WONT_BE_IN_TIME = 'wont-be-in-time'
    TOO_DEEP = 'too-deep'
    STALE_CONFIGURATION = 'stale-configuration'
    BREAKS_TARGETS = 'breaks-targets'
    CONNECT_FAILED = 'connect-failed'
    CONNECTION_BUDGET = 'connection-budget'
    TARGET_SHED = 'target-shed'
    MISDIRECTED = 'misdirected'
    TARGET_UNAVAILABLE = 'target-unavailable'
    CONNECTION_LOST = 'connection-lost'
    MALFORMED_ANSWER = 'malformed-answer'
    ANSWER_CUT_SHORT = 'answer-cut-short'
    PROBE_FAILED = 'probe-failed'
    DEADLINE = 'deadline'
    ENTRY_STOPPING = 'entry-stopping'
    CALLER_GONE = 'caller-gone'
    BEHIND_CLOSE = 'behind-close'
    KEY_IN_USE = 'key-in-use'
    KEY_MISMATCH = 'key-mismatch'
    KEPT_ANSWER = 'kept-answer'
    EARLIER_RUN = 'earlier-run'
    KEYED_BODY_TOO_LARGE = 'keyed-body-too-large'
    LEDGER_UNAVAILABLE = 'ledger-unavailable'
    LEDGER_FULL = 'ledger-full'
    INTERNAL_ERROR = 'internal-error'


_STATUS_BY_REASON: typing.Final = {
    Reason.MALFORMED_REQUEST: 400,
    Reason.HEAD_TOO_LARGE: 431,
    Reason.BODY_TOO_LARGE: 413,
    Reason.REQUEST_CUT_SHORT: 400,
    Reason.REQUEST_TIMEOUT: 408,
    Reason.NO_ROUTE: 404,
    Reason.UNKNOWN_ACCOUNT: 403,
    Reason.UNKNOWN_KEY: 401,
    Reason.REVOKED_KEY: 401,
    Reason.OVER_RATE: 429,
    Reason.ACCOUNT_LIMIT: 429,
    Reason.OUTSIDE_HOME_REGIONS: 421,
    Reason.TOO_DEEP: 508,
    Reason.BREAKS_TARGETS: 422,
    Reason.KEY_IN_USE: 409,
    Reason.KEY_MISMATCH: 422,
    Reason.KEYED_BODY_TOO_LARGE: 413,
}

_STATUS_NOT_RUN: typing.Final = 503
_STATUS_UNKNOWN: typing.Final = 502
_STATUS_DEADLINE: typing.Final = 504

#: Reasons for which an entry refuses a request before it chose a target.
REASONS_BEFORE_TARGETS: typing.Final = frozenset(
    (Reason.NO_TARGET, Reason.ENTRY_STOPPING)
)

#: Temporary reasons, with which a refusal carries a Retry-After header.
_TEMPORARY_REASONS: typing.Final = frozenset(
    (
        Reason.ACCOUNT_LIMIT,
        Reason.OVER_RATE,
        Reason.NO_PERMIT,
        Reason.MEMORY_LIMIT,
        Reason.NO_CONFIGURATION,
        Reason.NO_TARGET,
        Reason.OVERLOADED,
        Reason.QUEUE_TIMEOUT,
        Reason.WONT_BE_IN_TIME,
        Reason.STALE_CONFIGURATION,
        Reason.BREAKS_TARGETS,
        Reason.CONNECT_FAILED,
        Reason.CONNECTION_BUDGET,
        Reason.TARGET_SHED,
        Reason.MISDIRECTED,
        Reason.ENTRY_STOPPING,
        Reason.KEY_IN_USE,
        Reason.LEDGER_UNAVAILABLE,
        Reason.LEDGER_FULL,
    ),
)


#: Retry-After in seconds where it differs from 1. It is shorter because
#: another target or entry may accept the request at once.
_RETRY_AFTER_S: typing.Final = {
    Reason.CONNECT_FAILED: 0.05,
    Reason.CONNECTION_BUDGET: 0.05,
    Reason.TARGET_SHED: 0.05,
    Reason.MISDIRECTED: 0.05,
    Reason.ENTRY_STOPPING: 0.05,
    Reason.NO_PERMIT: 0.2,
    Reason.QUEUE_TIMEOUT: 0.2,
    Reason.OVERLOADED: 0.2,
}


class RefusedError(errors.MulberryquayError):
    """The entry answers a request itself, with an outcome and a reason."""

    code = 'refused'

    def __init__(
        self,
        outcome: Outcome,
        reason: Reason,
        message: str,
        *,
        status: int = 0,
        headers: http_heads.Headers | None = None,
        retry_after_s: float = 0,
    ) -> None:
        """A ``status`` or ``retry_after_s`` of 0 means the reason's default."""
        super().__init__(message)
        self.outcome = outcome
        self.reason = reason
        self.status = status or _status_of(outcome, reason)
        self.headers = list(headers or ())
        #: What the caller was told, in seconds; 0 for nothing.
        self.retry_after_s = 0.0
        if reason in _TEMPORARY_REASONS:
            retry_after_s = retry_after_s or _RETRY_AFTER_S.get(reason, 1)
            self.retry_after_s = retry_after_s
            self.headers.append((b'retry-after', b'%g' % retry_after_s))


def not_run(
    reason: Reason,
    message: str,
    **options: typing.Any,
) -> RefusedError:
    """Returns the error for a request that certainly did not run."""
    return RefusedError(Outcome.NOT_RUN, reason, message, **options)


def unknown(
    reason: Reason,
    message: str,
    **options: typing.Any,
) -> RefusedError:
    """Returns the error for a request that may have run."""
    return RefusedError(Outcome.UNKNOWN, reason, message, **options)


def _status_of(outcome: Outcome, reason: Reason) -> int:
    if reason is Reason.DEADLINE:
        return _STATUS_DEADLINE
    if outcome is Outcome.UNKNOWN:
        return _STATUS_UNKNOWN
    return _STATUS_BY_REASON.get(reason, _STATUS_NOT_RUN)


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """The target's answer, or its beginning.

    A ``body`` of None has not been read from the connection yet. The answer
    of another entry carries the outcome and reason that the entry reported.
    """

    head: http_heads.ResponseHead
    connection: connections.TargetConnection
    body: bytes | None
    outcome: Outcome = Outcome.ANSWERED
    reason: Reason = Reason.NONE
    relayed_as: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent."""

    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The target refused the request before running it."""

    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent, at least in part, and may have run."""

    reason: Reason


#: How one attempt on one target ended.
AttemptResult = Received | NotSent | Shed | Lost
