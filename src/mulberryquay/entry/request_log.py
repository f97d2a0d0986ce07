"""The log lines of requests: what was decided, on what, and what came of it."""

from __future__ import annotations

import logging
import typing

import xxhash

from mulberryquay.entry import request_records, state, targets

#: One of so many plain successes of idempotent requests is logged.
SAMPLE: typing.Final = 16

#: Decimal places of figures.
_DIGITS: typing.Final = 2

#: From here on, an answer of a target is no success.
_FIRST_FAILURE_STATUS: typing.Final = 300

_LOG: typing.Final = logging.getLogger(__name__)


class Basis(typing.NamedTuple):
    """What an entry knew of a target when it chose it."""

    in_flight: int
    #: Calls a slot, estimated from the last report and own calls.
    load: float
    #: How long work took on its host, as last reported, 1 for as usual.
    slowness: float
    #: Milliseconds since that report, -1 if there was none.
    report_age_ms: float


class Context(typing.NamedTuple):
    """What a request line tells beside the account."""

    #: What the refusal said, empty if there was none.
    cause: str
    is_idempotent: bool
    timeout_ms: float
    #: What was known of the target of each try.
    bases: typing.Sequence[Basis]


def basis_of(target: targets.TargetState, now: float) -> Basis:
    """Returns what is known of a target now."""
    age = now - target.reported_at
    return Basis(
        target.in_flight,
        round(target.load(now), _DIGITS),
        target.slowness,
        round(age, _DIGITS) if age < float('inf') else -1,
    )


def log_request(
    entry_state: state.EntryState,
    account: request_records.RequestRecord,
    context: Context,
) -> None:
    """Writes the line of a request that has ended.

    Of plain successes that may run twice only a sample is written, the same
    at every entry.
    """
    if context.is_idempotent and _is_plain(account):
        if xxhash.xxh3_64_intdigest(account.request_id.encode()) % SAMPLE:
            return
    shown = request_records.to_json(account)
    shown['tries'] = [
        {**attempt, **basis._asdict()}
        for attempt, basis in zip(shown['tries'], context.bases, strict=False)
    ]
    _LOG.info(
        'request ended',
        extra={
            **shown,
            'cause': context.cause,
            'timeout_ms': context.timeout_ms,
            'config_revision': entry_state.routing_table.revision,
            'config_fresh': entry_state.is_fresh,
            'entries_epoch': entry_state.share_view.committed.epoch,
        },
    )


def log_retry(
    request_id: bytes,
    last_try: request_records.AttemptRecord,
    *,
    is_granted: bool,
) -> None:
    """Writes whether the retry budget had a token for another try."""
    _LOG.info(
        'retry granted' if is_granted else 'retry denied',
        extra={
            'request_id': request_id.decode('latin-1'),
            'target': last_try.target,
            'result': last_try.result,
            'reason': last_try.reason,
        },
    )


def _is_plain(account: request_records.RequestRecord) -> bool:
    is_first = account.reason == 'none' and len(account.tries) == 1
    return is_first and account.status < _FIRST_FAILURE_STATUS
