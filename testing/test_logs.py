"""Tests of log lines: bounded, and never in the way."""

from __future__ import annotations

import contextlib
import json
import logging
import os
import typing
import unittest

import gevent

from mulberryquay import logs
from mulberryquay.coordination import clock

CASE: typing.Final = unittest.TestCase()
_LOG: typing.Final = logging.getLogger('mulberryquay.testing')


@contextlib.contextmanager
def _pipe() -> typing.Iterator[int]:
    """Yields the end of a pipe to which the logs of this process go."""
    reading, writing = os.pipe()
    root = logging.getLogger('mulberryquay')
    before = (list(root.handlers), root.level, root.propagate)
    with open(writing, 'w', encoding='utf-8') as stream:
        logs.configure(level='info', role='entry', node='e-1', stream=stream)
        try:
            yield reading
        finally:
            logs.close()
            os.close(reading)
            _restore(root, *before)


def _restore(
    root: logging.Logger,
    handlers: list[logging.Handler],
    level: int,
    propagate: bool,
) -> None:
    root.handlers = handlers
    root.level = level
    root.propagate = propagate


def _read_lines(reading: int) -> list[dict[str, typing.Any]]:
    """Reads what is in the pipe, and what is written meanwhile."""
    os.set_blocking(reading, False)
    body = b''
    for _ in range(200):
        gevent.sleep(0.001)
        with contextlib.suppress(BlockingIOError):
            body += os.read(reading, 1 << 20)
    return [json.loads(line) for line in body.splitlines()]


def test_line_names_process_and_fields() -> None:
    """What `explain` needs to put the lines of all processes in order."""
    with _pipe() as reading:
        _LOG.info('request ended', extra={'request_id': 'r-1'})
        lines = _read_lines(reading)
        CASE.assertEqual(len(lines), 1)
        line = lines[0]
        CASE.assertEqual(line['message'], 'request ended')
        CASE.assertEqual(line['request_id'], 'r-1')
        CASE.assertEqual((line['role'], line['node']), ('entry', 'e-1'))
        CASE.assertIn('time', line)


def test_lines_that_nobody_reads_are_dropped_and_counted() -> None:
    """The process goes on; the count is told when there is room again."""
    count = logs.MAX_QUEUED_LINES * 3
    with _pipe() as reading:
        for number in range(count):
            _LOG.warning('line %d', number)
            if not number % 100:
                gevent.sleep(0)
        first = _read_lines(reading)
        CASE.assertLess(len(first), count)
        _LOG.warning('room again')
        rest = _read_lines(reading)
        dropped = [line['count'] for line in first + rest if 'count' in line]
        kept = [line for line in first + rest if 'count' not in line]
        CASE.assertEqual(sum(dropped) + len(kept), count + 1)


def test_flood_of_common_lines_leaves_room_for_warnings() -> None:
    """Lines below warnings have a rate."""
    with _pipe() as reading:
        for _ in range(logs.BURST_LINES * 2):
            _LOG.info('common')
        lines = _read_lines(reading)
        _LOG.warning('rare')
        lines += _read_lines(reading)
        CASE.assertIn('rare', [line['message'] for line in lines])
        CASE.assertLess(len(lines), logs.BURST_LINES * 2)


def test_reader_that_left_ends_nothing() -> None:
    """A closed pipe costs the lines only."""
    reading, writing = os.pipe()
    handler = logs.BoundedHandler(writing, clock.Clock())
    handler.start()
    os.close(reading)
    handler.emit(
        logging.makeLogRecord({'msg': 'a line', 'levelno': logging.INFO})
    )
    gevent.sleep(0.01)
    handler.emit(
        logging.makeLogRecord({'msg': 'another', 'levelno': logging.INFO})
    )
    gevent.sleep(0.01)
    handler.stop()
    os.close(writing)
