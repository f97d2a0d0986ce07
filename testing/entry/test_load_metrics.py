"""Tests of the metrics that tell who waits and where work goes."""

from __future__ import annotations

import typing
import unittest

from mulberryquay import metrics
from mulberryquay.entry import load_metrics, request_records
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def _record(
    *domains: str, service_class: str = 'read', duration_ms: float = 50
) -> request_records.RequestRecord:
    return request_records.RequestRecord(
        'request-1',
        0,
        b'GET',
        b'/stock/x',
        '',
        'stock',
        service_class,
        'answered',
        'none',
        200,
        duration_ms,
        [
            request_records.AttemptRecord(
                't', domain, 1, 'received', 'none', 20
            )
            for domain in domains
        ],
    )


def test_time_is_divided_between_tries_and_the_rest() -> None:
    """Guards against waits for a target that count as work of targets."""
    counters = metrics.Metrics(load_metrics.METRICS)
    load_metrics.count_request(counters, _record('a', 'b'), None)
    load_metrics.count_request(counters, _record('b', duration_ms=19), None)
    load_metrics.count_request(counters, _record(service_class=''), None)
    name = 'mulberryquay_class_ms_total'
    CASE.assertEqual(counters.read(name, 'read', 'in-tries'), 60)
    CASE.assertEqual(counters.read(name, 'read', 'outside'), 10)
    tries = 'mulberryquay_domain_tries_total'
    CASE.assertEqual(counters.read(tries, 'b', 'received'), 2)
    CASE.assertEqual(
        counters.read('mulberryquay_class_requests_total', 'read', 'answered'),
        2,
    )


def test_entry_counts_requests_by_rank_and_tries_by_domain() -> None:
    """Guards against counters that are declared and never filled."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.put('client-accounts', 'acme', rank=3)
        control.declare()
        with fixtures.announced_target(control, 'target-1'):
            fixtures.wait_for_targets(entry, 'target-1')
            control.wait_in_force()
            headers = {'Mulberryquay-Account': 'acme'}
            fixtures.ask(entry, '/stock', headers=headers)
        read = entry.state.metrics.read
        CASE.assertEqual(
            read(
                'mulberryquay_account_requests_total', '3', 'answered', 'none'
            ),
            1,
        )
        CASE.assertEqual(
            read('mulberryquay_domain_tries_total', 'north-1', 'received'), 1
        )
