"""Tests of the directory of targets."""

from __future__ import annotations

import typing
import unittest

from mulberryquay.control import directory, replicated_state, target_limit
from mulberryquay.coordination import clock
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def _announcement(name: str, incarnation: int = 1) -> dict[str, typing.Any]:
    return fixtures.announcement(name, '127.0.0.1:80', incarnation=incarnation)


def test_targets_beyond_the_limit_are_refused_and_the_others_stay() -> None:
    """Guards against announcements of ever new names, and harm to targets.

    Those that are known renew and restart as before. A place is free again
    once a lease has run out.
    """
    time_source = clock.ManualClock()
    ended = replicated_state.ReplicatedState().ended_targets
    targets = directory.Directory(time_source, ended=ended, max_targets=2)
    for name in ('a', 'b'):
        targets.announce(_announcement(name))
    with (
        CASE.assertLogs(target_limit.__name__, 'WARNING') as logs,
        CASE.assertRaises(directory.TooManyTargetsError),
    ):
        targets.announce(_announcement('c'))
    CASE.assertEqual(len(logs.records), 1)
    targets.merge_announced(fixtures.warm_row('d', '127.0.0.1:81'))
    CASE.assertEqual(targets.limit.times_met, 2)
    targets.announce(_announcement('a', incarnation=2))
    time_source.advance(directory.TARGET_LEASE_MS)
    targets.renew('a', incarnation=2)
    time_source.advance(1)
    targets.expire()
    targets.announce(_announcement('c'))
    names = [row.name for row in targets.list_targets()]
    CASE.assertEqual(names, ['a', 'c'])
