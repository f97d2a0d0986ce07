"""Tests of which requests have a line in the log."""

from __future__ import annotations

import logging
import typing
import unittest
from unittest import mock

from mulberryquay.entry import request_log, request_records

CASE: typing.Final = unittest.TestCase()
_COUNT: typing.Final = 160


def _lines(
    *,
    status: int = 200,
    reason: str = 'none',
    results: typing.Sequence[str] = ('received',),
    is_idempotent: bool = True,
) -> int:
    """Returns how many of many such requests are logged."""
    tries = [
        request_records.AttemptRecord('t', 'north-1', 1, result, 'none', 5)
        for result in results
    ]
    snapshot = request_log.TargetSnapshot(1, 0.5, 1, 10)
    context = request_log.LogContext('', is_idempotent, 1000, [snapshot])
    logger = logging.getLogger('mulberryquay.entry.request_log')
    with mock.patch.object(logger, 'info') as written:
        for number in range(_COUNT):
            account = request_records.RequestRecord(
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
                tries,
            )
            request_log.log_request(mock.MagicMock(), account, context)
        return int(written.call_count)


def test_plain_successes_are_sampled() -> None:
    """Some are kept, far from all."""
    CASE.assertTrue(0 < _lines() < _COUNT / 4)


def test_all_else_is_kept() -> None:
    """Failures of targets, too, though the entry did nothing wrong."""
    CASE.assertEqual(_lines(status=504), _COUNT)
    CASE.assertEqual(_lines(reason='deadline', status=504), _COUNT)
    CASE.assertEqual(_lines(results=('shed', 'received')), _COUNT)
    CASE.assertEqual(_lines(is_idempotent=False), _COUNT)
