"""Tests of logging that is bounded and never blocks the process."""

from __future__ import annotations

import logging
import os
import typing
import unittest

import gevent

from mulberryquay import logs
from mulberryquay.coordination import clock
from testing import fixtures

CASE: typing.Final = unittest.TestCase()
_LOG: typing.Final = logging.getLogger('mulberryquay.testing')


def test_line_names_process_and_fields() -> None:
    """Guards against missing fields that `explain` needs to merge logs."""
    with fixtures.log_pipe() as read_end:
        _LOG.info('request ended', extra={'request_id': 'r-1'})
        lines = fixtures.read_log_lines(read_end)
        CASE.assertEqual(len(lines), 1)
        line = lines[0]
        CASE.assertEqual(line['message'], 'request ended')
        CASE.assertEqual(line['request_id'], 'r-1')
        CASE.assertEqual((line['role'], line['node']), ('entry', 'e-1'))
        CASE.assertIn('time', line)


def test_lines_that_nobody_reads_are_dropped_and_counted() -> None:
    """Guards against a blocked process and drops that are not counted.

    Nobody reads the pipe, so the queue fills up.
    """
    count = logs.MAX_QUEUED_LINES * 3
    with fixtures.log_pipe() as read_end:
        for number in range(count):
            _LOG.warning('line %d', number)
            if not number % 100:
                gevent.sleep(0)
        first = fixtures.read_log_lines(read_end)
        CASE.assertLess(len(first), count)
        _LOG.warning('room again')
        rest = fixtures.read_log_lines(read_end)
        dropped = [line['count'] for line in first + rest if 'count' in line]
        kept = [line for line in first + rest if 'count' not in line]
        CASE.assertEqual(sum(dropped) + len(kept), count + 1)


def test_flood_of_common_lines_leaves_room_for_warnings() -> None:
    """Guards against warnings that are dropped in a flood of info lines."""
    with fixtures.log_pipe() as read_end:
        for _ in range(logs.BURST_LINES * 2):
            _LOG.info('common')
        lines = fixtures.read_log_lines(read_end)
        _LOG.warning('rare')
        lines += fixtures.read_log_lines(read_end)
        CASE.assertIn('rare', [line['message'] for line in lines])
        CASE.assertLess(len(lines), logs.BURST_LINES * 2)


def test_pipe_closed_by_its_reader_raises_no_error() -> None:
    """Guards against an error when the reader has closed the pipe."""
    read_end, write_end = os.pipe()
    handler = logs.BoundedHandler(write_end, clock.Clock())
    handler.start()
    os.close(read_end)
    handler.emit(
        logging.makeLogRecord({'msg': 'a line', 'levelno': logging.INFO})
    )
    gevent.sleep(0.01)
    handler.emit(
        logging.makeLogRecord({'msg': 'another', 'levelno': logging.INFO})
    )
    gevent.sleep(0.01)
    handler.stop()
    os.close(write_end)


def test_lines_that_cannot_be_written_are_counted() -> None:
    """Each line lost to a closed pipe must count, also those being written."""
    read_end, write_end = os.pipe()
    handler = logs.BoundedHandler(write_end, clock.Clock())
    os.close(read_end)
    # gevent closes a descriptor once the event loop has run.
    gevent.sleep(0.01)
    for number in range(5):
        handler.emit(
            logging.makeLogRecord(
                {'msg': f'line {number}', 'levelno': logging.INFO}
            )
        )
    handler.start()
    fixtures.wait_until(lambda: handler.dropped)
    CASE.assertEqual(handler.dropped, 5)
    handler.stop()
    os.close(write_end)
