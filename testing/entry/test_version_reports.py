"""Tests of what an entry reports of the answers of each version."""

from __future__ import annotations

import typing
import unittest

from mulberryquay import protocol
from mulberryquay.coordination import clock
from mulberryquay.entry import outcomes, routing, targets, version_reports
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_RUNNING: typing.Final = routing.NO_ROLL_OUT._replace(
    number=1, version='v2', is_running=True
)
_LOST: typing.Final = outcomes.Lost(outcomes.Reason.CONNECTION_LOST)


def _attempted(
    time_source: clock.Clock, result: outcomes.AttemptResult
) -> version_reports.Attempted:
    row = fixtures.warm_row('stock-a', '127.0.0.1:9')._replace(version='v2')
    return version_reports.Attempted(
        targets.TargetState(row, time_source), 'orders', result, 0, 100
    )


def test_only_services_with_a_running_roll_out_are_reported() -> None:
    """Guards against a cost where no roll-out was ordered."""
    time_source = clock.ManualClock()
    reports = version_reports.VersionReports(time_source)
    for roll_outs in (
        {},
        {'other': _RUNNING},
        {'stock': _RUNNING._replace(is_running=False)},
    ):
        reports.configure(roll_outs)
        reports.record(_attempted(time_source, _LOST))
        CASE.assertEqual(reports.pop(), [])


def test_equal_answers_are_one_row() -> None:
    """Guards against heartbeats that grow with the load."""
    time_source = clock.ManualClock()
    reports = version_reports.VersionReports(time_source)
    reports.configure({'stock': _RUNNING})
    for _ in range(50):
        reports.record(_attempted(time_source, _LOST))
    expected = protocol.VersionAnswers(
        'stock', 'v2', 'north-1', 'orders', True, -1, 50
    )
    CASE.assertEqual(reports.pop(), [list(expected)])
    CASE.assertEqual(reports.pop(), [])


def test_attempts_that_say_nothing_of_the_target_do_not_count() -> None:
    """Guards against evidence from what the entry itself did."""
    time_source = clock.ManualClock()
    reports = version_reports.VersionReports(time_source)
    reports.configure({'stock': _RUNNING})
    for result in (
        outcomes.Lost(outcomes.Reason.ENTRY_STOPPING),
        outcomes.NotSent(outcomes.Reason.CONNECT_FAILED),
        outcomes.Shed(outcomes.Reason.TARGET_SHED),
    ):
        reports.record(_attempted(time_source, result))
    CASE.assertEqual(reports.pop(), [])


def test_answers_from_before_a_freeze_are_not_reported() -> None:
    """Guards against old answers that are compared with new ones."""
    time_source = clock.ManualClock()
    reports = version_reports.VersionReports(time_source)
    reports.configure({'stock': _RUNNING})
    reports.record(_attempted(time_source, _LOST))
    time_source.advance(5000)
    CASE.assertEqual(reports.pop(), [])
