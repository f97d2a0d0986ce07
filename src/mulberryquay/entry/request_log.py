"""Log lines of requests: the decisions, their inputs, and the results."""

from __future__ import annotations

import logging
import typing

import xxhash

from mulberryquay.entry import request_records, state, targets

#: One in this many plain successes of idempotent requests is logged.
SAMPLE_INTERVAL: typing.Final = 16

#: Decimal places of logged figures.
_DIGITS: typing.Final = 2

#: Lowest status of a target's answer that is not a success.
_FIRST_FAILURE_STATUS: typing.Final = 300

_LOG: typing.Final = logging.getLogger(__name__)


class TargetSnapshot(typing.NamedTuple):
    """What an entry knew of a target when it chose it."""

    #: 0 in the entry's own failure domain, 1 in its region, 2 in others.
    tier: int
    in_flight: int
    #: Calls per slot, estimated from the last report and this entry's calls.
    load: float
    #: Duration of work on its host relative to the usual one, as last
    #: reported; 1 is as usual.
    slowness: float
    #: Milliseconds since that report, -1 if there was none.
    report_age_ms: float
    #: How old the control hosts' word on it was; -1 before the first one.
    control_age_ms: int = -1

    @property
    def report_state(self) -> str:
        """Whether the load report is ``fresh``, ``old`` or ``missing``."""
        if self.report_age_ms < 0:
            return 'missing'
        is_fresh = self.report_age_ms <= targets.FRESH_REPORT_MAX_AGE_MS
        return 'fresh' if is_fresh else 'old'

    @property
    def known_load(self) -> float | None:
        """The load, None without a fresh report of a host of usual speed."""
        is_usual = self.slowness <= targets.MAX_USUAL_SLOWNESS
        is_known = is_usual and self.report_state == 'fresh'
        return self.load if is_known else None


class LogContext(typing.NamedTuple):
    """What the log line of a request has besides its record."""

    #: Message of the refusal, empty if there was none.
    cause: str
    is_idempotent: bool
    timeout_ms: float
    #: What was known of the target of each attempt.
    target_snapshots: typing.Sequence[TargetSnapshot]


def snapshot_of(
    target: targets.TargetState, now: float, *, control_age_ms: int
) -> TargetSnapshot:
    """Returns what is known of a target now."""
    age = now - target.reported_at
    return TargetSnapshot(
        target.tier,
        target.in_flight,
        round(target.load(now), _DIGITS),
        target.slowness,
        round(age, _DIGITS) if age < float('inf') else -1,
        control_age_ms,
    )


def log_request(
    entry_state: state.EntryState,
    record: request_records.RequestRecord,
    context: LogContext,
) -> None:
    """Logs a request that has ended.

    Plain successes of idempotent requests are sampled by request id, so that
    every entry logs the same requests.
    """
    if context.is_idempotent and _is_plain(record):
        if (
            xxhash.xxh3_64_intdigest(record.request_id.encode())
            % SAMPLE_INTERVAL
        ):
            return
    fields = request_records.to_json(record)
    fields['tries'] = [
        {**attempt, **snapshot._asdict()}
        for attempt, snapshot in zip(
            fields['tries'], context.target_snapshots, strict=False
        )
    ]
    _LOG.info(
        'request ended',
        extra={
            **fields,
            'cause': context.cause,
            'timeout_ms': context.timeout_ms,
            'config_revision': entry_state.routing_table.revision,
            'config_fresh': entry_state.is_fresh,
            'entries_epoch': entry_state.share_view.committed.epoch,
        },
    )


def log_retry(
    request_id: bytes,
    last_attempt: request_records.AttemptRecord,
    *,
    is_granted: bool,
) -> None:
    """Logs whether the retry budget allowed another attempt."""
    _LOG.info(
        'retry granted' if is_granted else 'retry denied',
        extra={
            'request_id': request_id.decode('latin-1'),
            'target': last_attempt.target,
            'result': last_attempt.result,
            'reason': last_attempt.reason,
        },
    )


def _is_plain(record: request_records.RequestRecord) -> bool:
    is_first = record.reason == 'none' and len(record.tries) == 1
    return is_first and record.status < _FIRST_FAILURE_STATUS
