"""Metrics that tell who waits, who is refused, and where work goes."""

from __future__ import annotations

import typing

from mulberryquay import metrics
from mulberryquay.entry import request_records, routing

METRICS: typing.Final = (
    metrics.MetricDeclaration(
        'mulberryquay_account_requests_total',
        'Requests of client accounts by rank of the account, outcome and '
        'reason.',
        labels=('rank', 'outcome', 'reason'),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_class_requests_total',
        'Requests by service class and outcome.',
        labels=('service_class', 'outcome'),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_class_ms_total',
        'Time of the requests of a service class, in milliseconds: in tries '
        'on targets, or outside of them, where it is spent on reading, '
        'waiting for a target and sending.',
        labels=('service_class', 'spent'),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_domain_tries_total',
        'Attempts by failure domain of the target and result.',
        labels=('domain', 'result'),
    ),
)


def count_request(
    counters: metrics.Metrics,
    record: request_records.RequestRecord,
    account: routing.ClientAccount | None,
) -> None:
    """Counts a request that has ended; one without a route has no class."""
    if account is not None:
        counters.count(
            'mulberryquay_account_requests_total',
            str(account.caller.rank),
            record.outcome,
            record.reason,
        )
    if record.service_class:
        _count_class(counters, record)
    for attempt in record.tries:
        counters.count(
            'mulberryquay_domain_tries_total', attempt.domain, attempt.result
        )


def _count_class(
    counters: metrics.Metrics, record: request_records.RequestRecord
) -> None:
    in_tries = sum(attempt.duration_ms for attempt in record.tries)
    counters.count(
        'mulberryquay_class_requests_total',
        record.service_class,
        record.outcome,
    )
    for spent, duration in (
        ('in-tries', in_tries),
        # An answer may be sent on before its try has ended.
        ('outside', max(0, record.duration_ms - in_tries)),
    ):
        counters.count(
            'mulberryquay_class_ms_total',
            record.service_class,
            spent,
            amount=duration,
        )
