"""Tests of explaining a request from log lines."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import typing
import unittest

from mulberryquay import main
from mulberryquay.commands import explain
from mulberryquay.entry import outcomes, request_records
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_ENTRY: typing.Final = {'role': 'entry', 'node': 'entry-1', 'level': 'INFO'}
_CONTROL: typing.Final = {'role': 'control', 'node': '', 'level': 'WARNING'}


def _timestamp(second: float) -> str:
    return f'2026-05-15 13:45:{second:06.3f}'.replace('.', ',')


def _attempt(target: str, result: str, reason: str) -> dict[str, typing.Any]:
    return {
        'target': target,
        'domain': 'north-1',
        'incarnation': 7,
        'result': result,
        'reason': reason,
        'duration_ms': 12.5,
        'relayed_as': '',
        'in_flight': 2,
        'load': 0.5,
        'slowness': 4.0,
        'report_age_ms': 14.2,
    }


def _request_ended_line(
    second: float,
    reason: str,
    *tries: dict[str, typing.Any],
) -> dict[str, typing.Any]:
    return {
        **_ENTRY,
        'time': _timestamp(second),
        'message': 'request ended',
        'request_id': 'r-1',
        'outcome': 'unknown',
        'reason': reason,
        'status': 502,
        'duration_ms': 25.0,
        'timeout_ms': 1200,
        'cause': 'the target was reached but gave no whole answer',
        'tries': list(tries),
    }


def _connection_lost_lines() -> list[dict[str, typing.Any]]:
    """Returns unordered lines of two processes, some of them unrelated."""
    return [
        _request_ended_line(
            20.5,
            'connection-lost',
            _attempt('t-1', 'not-sent', 'connect-failed'),
            _attempt('t-2', 'lost', 'connection-lost'),
        ),
        {
            **_ENTRY,
            'time': _timestamp(20.1),
            'message': 'target suspended',
            'target': 't-1',
            'for_ms': 100,
        },
        {
            **_ENTRY,
            'time': _timestamp(20.2),
            'message': 'target suspended',
            'target': 't-9',
            'for_ms': 100,
        },
        {
            **_CONTROL,
            'time': _timestamp(19.0),
            'message': 'leading',
            'term': 4,
            'domains_out': [],
        },
        {
            **_ENTRY,
            'time': _timestamp(3),
            'message': 'target suspended',
            'target': 't-1',
            'for_ms': 3200,
        },
    ]


def test_lines_are_in_order_with_the_cause_at_the_end() -> None:
    """Guards against unordered output and lines of unrelated targets."""
    explanation = explain.explain('r-1', _connection_lost_lines())
    text = '\n'.join(explanation)
    positions = [
        text.index(word)
        for word in ('leading', 'for_ms=100', 'try 1', 'try 2', 'Cause: ')
    ]
    CASE.assertEqual(positions, sorted(positions))
    CASE.assertIn('connection to the target was lost', explanation[-1])
    CASE.assertIn('2 tries', explanation[-1])
    CASE.assertNotIn('t-9', text)
    CASE.assertNotIn('for_ms=3200', text)


def test_request_without_a_last_line_has_no_known_cause() -> None:
    """Guards against a wrong cause if the entry was killed."""
    lines = [
        {
            **_ENTRY,
            'time': _timestamp(1),
            'message': 'retry granted',
            'request_id': 'r-1',
            'target': 't-1',
        },
    ]
    CASE.assertIn('not known', explain.explain('r-1', lines)[-1])


def test_every_reason_has_a_cause_in_words() -> None:
    """Guards against reasons that are not explained.

    A reason without a text of its own shows the cause in the log line.
    """
    for reason in outcomes.Reason:
        explanation = explain.explain(
            'r-1', [_request_ended_line(1, reason.value)]
        )[-1]
        CASE.assertRegex(explanation, r'^Cause: \S+ \S+')


def test_command_reads_files_with_other_text_between_lines() -> None:
    """Guards against lines missed because log collectors add a prefix."""
    with fixtures.folder() as folder:
        paths = []
        for number, line in enumerate(_connection_lost_lines()):
            path = pathlib.Path(folder) / f'{number}.log'
            path.write_text(f'not a line\n 20.5 edge-1 {json.dumps(line)}\n{{')
            paths.append(str(path))
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            CASE.assertEqual(main.run(['explain', 'r-1', *paths]), 0)
        CASE.assertIn('Cause: ', output.getvalue())


def test_unknown_request_and_file_are_typed_errors() -> None:
    """Guards against tracebacks and a zero exit code on wrong arguments."""
    with CASE.assertRaises(request_records.UnknownRequestError):
        explain.explain('r-2', _connection_lost_lines())
    with CASE.assertRaises(explain.BadLogFileError):
        list(explain.read_lines('no-such-file'))
    error_output = io.StringIO()
    with contextlib.redirect_stderr(error_output):
        CASE.assertNotEqual(main.run(['explain', 'r-1', 'no-such-file']), 0)
        CASE.assertNotEqual(main.run(['explain', 'r-1']), 0)
    CASE.assertIn('bad-log-file', error_output.getvalue())
