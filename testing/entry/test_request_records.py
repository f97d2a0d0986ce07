"""Tests of the records of requests that an entry keeps."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

from mulberryquay import metrics
from mulberryquay.coordination import clock
from mulberryquay.entry import caller_limits, request_records

CASE: typing.Final = unittest.TestCase()

_MAX_BYTES: typing.Final = 100_000


def _record(number: int) -> request_records.RequestRecord:
    attempt = request_records.AttemptRecord('t', 'north-1', 1, 'ok', 'none', 5)
    return request_records.RequestRecord(
        f'r{number}',
        0,
        b'GET',
        b'/stock',
        '',
        'stock',
        'default',
        'returned',
        'none',
        200,
        5,
        [attempt],
    )


def test_records_dropped_for_memory_are_counted() -> None:
    """Nobody could tell a dropped record from one that never was."""
    on_limit = mock.Mock()
    history = request_records.RequestHistory(
        max_bytes=_MAX_BYTES, on_limit=on_limit
    )
    kept = _MAX_BYTES // 2 // _record(0).size
    for number in range(kept):
        history.add(_record(number))
    on_limit.assert_not_called()
    history.add(_record(kept))
    on_limit.assert_called_once_with()
    CASE.assertLessEqual(history.held_bytes, _MAX_BYTES // 2)
    with CASE.assertRaises(request_records.UnknownRequestError):
        history.get('r0')


def test_dropped_records_are_logged_once_an_hour_only() -> None:
    """A small machine may drop one with each request."""
    time_source = clock.ManualClock()
    notes = caller_limits.LimitNotes(
        metrics.Metrics(caller_limits.METRICS), time_source
    )
    with CASE.assertLogs(caller_limits.__name__) as logs:
        for _ in range(100):
            notes.note(caller_limits.Limit.RECORDS)
            time_source.advance(1000)
    CASE.assertEqual(len(logs.records), 1)
