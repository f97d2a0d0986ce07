"""What the result of an attempt is called, and what it means for retries."""

from __future__ import annotations

from mulberryquay.entry import http_heads, outcomes


def reached_no_target(result: outcomes.AttemptResult) -> bool:
    """Whether a relay added no load to a target, so that a retry is free."""
    match result:
        case outcomes.NotSent():
            return True
        case outcomes.Shed(reason):
            return reason in outcomes.REASONS_BEFORE_TARGETS
        case _:
            return False


def name_and_reason(
    result: outcomes.AttemptResult,
) -> tuple[str, outcomes.Reason]:
    """Returns the name of a result, as records have it, and its reason."""
    match result:
        case outcomes.Received(head):
            if result.outcome is not outcomes.Outcome.ANSWERED:
                return 'received', result.reason
            if head.status in outcomes.UNAVAILABLE_STATUSES:
                return 'received', outcomes.Reason.TARGET_UNAVAILABLE
            return 'received', outcomes.Reason.NONE
        case outcomes.NotSent(reason):
            return 'not-sent', reason
        case outcomes.Shed(reason):
            return 'shed', reason
        case outcomes.Lost(reason):
            return 'lost', reason


def has_failed(result: outcomes.AttemptResult) -> bool:
    """Whether the target refused or failed; not if the attempt was ended."""
    match result:
        case outcomes.Received(head):
            return head.status >= http_heads.FIRST_SERVER_ERROR_STATUS
        case outcomes.NotSent(reason):
            return reason is not outcomes.Reason.NONE
        case _:
            return True
