"""Tests of what a control host reports to the leader about entries."""

from __future__ import annotations

import contextlib
import typing
import unittest
from unittest import mock

from mulberryquay.control import entry_reports, membership
from mulberryquay.coordination import units
from testing import virtual_time

CASE: typing.Final = unittest.TestCase()


class _Scene(typing.NamedTuple):
    """The reports of a host, with stand-ins for its group."""

    reports: entry_reports.EntryReports
    replica: mock.MagicMock
    network: mock.MagicMock
    clock: virtual_time.VirtualClock

    def reported(self, field: str) -> set[str]:
        """Returns the names in all reports so far."""
        calls = self.network.call.call_args_list
        return {name for call in calls for name in getattr(call.args[1], field)}


@contextlib.contextmanager
def _leading_host() -> typing.Iterator[_Scene]:
    """Yields the reports of a host that leads."""
    clock = virtual_time.VirtualClock()
    replica = mock.MagicMock(is_leader=True, leader_address='')
    network = mock.MagicMock()
    tested = entry_reports.EntryReports(
        membership.Membership(clock), replica, network, clock
    )
    tested.start()
    try:
        yield _Scene(tested, replica, network, clock)
    finally:
        tested.stop()


def _follow(scene: _Scene) -> None:
    """Makes another host the leader and lets this one report to it."""
    scene.replica.is_leader = False
    scene.replica.leader_address = '127.0.0.1:1'
    scene.clock.run(5 * units.SECOND_MS)


def _row(name: str) -> membership.EntryRow:
    return membership.EntryRow(name, 'r', 'd', 'a', 'p', 0, 0, is_leaving=False)


def test_entry_that_left_long_ago_is_not_reported_as_left() -> None:
    """It may be back at another host, and be removed by such a report."""
    with _leading_host() as scene:
        scene.reports.record(_row('entry'))
        scene.reports.record_left('entry')
        scene.clock.run(units.MINUTE_MS)
        _follow(scene)
        CASE.assertEqual(scene.reported('left'), set())


def test_entry_that_just_left_is_reported_to_the_next_leader() -> None:
    """Its part must not wait for the end of its lease."""
    with _leading_host() as scene:
        scene.reports.record(_row('entry'))
        scene.reports.record_left('entry')
        scene.clock.run(units.SECOND_MS)
        _follow(scene)
        CASE.assertEqual(scene.reported('left'), {'entry'})


def test_entries_that_came_once_are_forgotten() -> None:
    """Each name was kept until the end of the process."""
    with _leading_host() as scene:
        for number in range(1000):
            scene.reports.record(_row(f'entry-{number}'))
        scene.clock.run(units.MINUTE_MS)
        CASE.assertEqual(scene.reports.known_count, 0)
        scene.reports.record(_row('entry-1'))
        CASE.assertEqual(scene.reports.known_count, 1)
        _follow(scene)
        CASE.assertEqual(scene.reported('alive'), {'entry-1'})
