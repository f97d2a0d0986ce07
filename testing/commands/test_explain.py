"""Tests of the explanation of a request from captured log lines."""

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


def _at(second: float) -> str:
    return f'2026-05-15 13:45:{second:06.3f}'.replace('.', ',')


def _try(target: str, result: str, reason: str) -> dict[str, typing.Any]:
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


def _ended(
    second: float,
    reason: str,
    *tries: dict[str, typing.Any],
) -> dict[str, typing.Any]:
    return {
        **_ENTRY,
        'time': _at(second),
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


def _lost() -> list[dict[str, typing.Any]]:
    """Lines of two processes, as they came, with others between them."""
    return [
        _ended(
            20.5,
            'connection-lost',
            _try('t-1', 'not-sent', 'connect-failed'),
            _try('t-2', 'lost', 'connection-lost'),
        ),
        {
            **_ENTRY,
            'time': _at(20.1),
            'message': 'target suspended',
            'target': 't-1',
            'for_ms': 100,
        },
        {
            **_ENTRY,
            'time': _at(20.2),
            'message': 'target suspended',
            'target': 't-9',
            'for_ms': 100,
        },
        {
            **_CONTROL,
            'time': _at(19.0),
            'message': 'leading',
            'term': 4,
            'domains_out': [],
        },
        {
            **_ENTRY,
            'time': _at(3),
            'message': 'target suspended',
            'target': 't-1',
            'for_ms': 3200,
        },
    ]


def test_lines_are_in_order_with_the_cause_at_the_end() -> None:
    """What happened to its targets and in control comes first."""
    told = explain.explain('r-1', _lost())
    text = '\n'.join(told)
    places = [
        text.index(word)
        for word in ('leading', 'for_ms=100', 'try 1', 'try 2', 'Cause: ')
    ]
    CASE.assertEqual(places, sorted(places))
    CASE.assertIn('connection to the target was lost', told[-1])
    CASE.assertIn('2 tries', told[-1])
    CASE.assertNotIn('t-9', text)
    CASE.assertNotIn('for_ms=3200', text)


def test_request_without_a_last_line_has_no_known_cause() -> None:
    """Its entry was killed; nothing is made up."""
    lines = [
        {
            **_ENTRY,
            'time': _at(1),
            'message': 'retry granted',
            'request_id': 'r-1',
            'target': 't-1',
        },
    ]
    CASE.assertIn('not known', explain.explain('r-1', lines)[-1])


def test_every_reason_has_a_cause_in_words() -> None:
    """Those without words of their own show what the refusal said."""
    for reason in outcomes.Reason:
        told = explain.explain('r-1', [_ended(1, reason.value)])[-1]
        CASE.assertRegex(told, r'^Cause: \S+ \S+')


def test_command_reads_files_with_other_text_between_lines() -> None:
    """Collectors put a time and a name before each line."""
    with fixtures.folder() as folder:
        paths = []
        for number, line in enumerate(_lost()):
            path = pathlib.Path(folder) / f'{number}.log'
            path.write_text(f'not a line\n 20.5 edge-1 {json.dumps(line)}\n{{')
            paths.append(str(path))
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            CASE.assertEqual(main.run(['explain', 'r-1', *paths]), 0)
        CASE.assertIn('Cause: ', output.getvalue())


def test_unknown_request_and_file_are_typed_errors() -> None:
    """The exit code and the message say which."""
    with CASE.assertRaises(request_records.UnknownRequestError):
        explain.explain('r-2', _lost())
    with CASE.assertRaises(explain.BadLogFileError):
        list(explain.read_lines('no-such-file'))
    complaints = io.StringIO()
    with contextlib.redirect_stderr(complaints):
        CASE.assertNotEqual(main.run(['explain', 'r-1', 'no-such-file']), 0)
        CASE.assertNotEqual(main.run(['explain', 'r-1']), 0)
    CASE.assertIn('bad-log-file', complaints.getvalue())
