"""Tests of which requests are logged."""

from __future__ import annotations

import logging
import typing
import unittest
from unittest import mock

from mulberryquay.entry import request_log, request_records

CASE: typing.Final = unittest.TestCase()
_REQUEST_COUNT: typing.Final = 160


def _count_logged(
    *,
    status: int = 200,
    reason: str = 'none',
    results: typing.Sequence[str] = ('received',),
    is_idempotent: bool = True,
) -> int:
    """Returns how many of `_REQUEST_COUNT` such requests are logged."""
    attempts = [
        request_records.AttemptRecord('t', 'north-1', 1, result, 'none', 5)
        for result in results
    ]
    snapshot = request_log.TargetSnapshot(0, 1, 0.5, 1, 10)
    context = request_log.LogContext('', is_idempotent, 1000, [snapshot])
    logger = logging.getLogger('mulberryquay.entry.request_log')
    with mock.patch.object(logger, 'info') as log_info:
        for number in range(_REQUEST_COUNT):
            record = request_records.RequestRecord(
                f'request-{number}',
                0,
                b'GET',
                b'/stock/x',
                '',
                'stock',
                'read',
                'answered',
                reason,
                status,
                5,
                attempts,
            )
            request_log.log_request(mock.MagicMock(), record, context)
        return int(log_info.call_count)


def test_plain_successes_are_sampled() -> None:
    """Some plain successes must be logged, but less than a quarter."""
    CASE.assertTrue(0 < _count_logged() < _REQUEST_COUNT / 4)


def test_all_other_requests_are_logged() -> None:
    """Failures, retried requests and non-idempotent ones must all be logged."""
    CASE.assertEqual(_count_logged(status=504), _REQUEST_COUNT)
    CASE.assertEqual(
        _count_logged(reason='deadline', status=504), _REQUEST_COUNT
    )
    CASE.assertEqual(
        _count_logged(results=('shed', 'received')), _REQUEST_COUNT
    )
    CASE.assertEqual(_count_logged(is_idempotent=False), _REQUEST_COUNT)


def test_snapshot_tells_fresh_reports_from_old_and_missing_ones() -> None:
    """The counter of choices must show which ones were made blindly."""
    states = [
        request_log.TargetSnapshot(0, 0, 0, 1, age).report_state
        for age in (0, 60, 61, -1)
    ]
    CASE.assertEqual(states, ['fresh', 'fresh', 'old', 'missing'])
