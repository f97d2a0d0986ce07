"""Tests of what targets are learned to bear."""

from __future__ import annotations

import typing
import unittest

from mulberryquay.decisions import room

CASE: typing.Final = unittest.TestCase()

_AFTER: typing.Final = room.SETTLING_MS + 1


def _answer(
    learned: room.Room, now: float, *, slowed: float, count: int = 20
) -> None:
    """Records answers of calm targets and of targets at the limit."""
    for _ in range(count):
        learned.record_answer(room.Answer('prices', 0.25, 100, True), now)
        full = room.Answer('prices', learned.limit(now), 100 * slowed, False)
        learned.record_answer(full, now)


def test_all_slots_are_used_where_calls_do_not_slow_each_other() -> None:
    """Room that is left free serves nobody."""
    learned = room.Room(0)
    _answer(learned, _AFTER, slowed=1.2)
    CASE.assertEqual(learned.limit(_AFTER), 0.75)
    raised_at = room.FADING_MS + 1
    CASE.assertEqual(learned.limit(raised_at), 1)
    _answer(learned, raised_at + _AFTER, slowed=1.2)
    CASE.assertEqual(learned.limit(raised_at + _AFTER), 1)


def test_fewer_calls_are_sent_where_more_mean_fewer_answers() -> None:
    """Beyond some load, targets answer less the more they get."""
    learned = room.Room(0)
    raised_at = room.FADING_MS + 1
    CASE.assertEqual(learned.limit(raised_at), 1)
    _answer(learned, raised_at + _AFTER, slowed=1.6)
    CASE.assertEqual(learned.limit(raised_at + _AFTER), 0.75)


def test_limit_is_kept_while_calls_before_it_end() -> None:
    """Calls sent under the old limit must not lower the new one."""
    learned = room.Room(0)
    _answer(learned, room.SETTLING_MS / 2, slowed=3)
    CASE.assertEqual(learned.limit(_AFTER), 0.75)


def test_more_is_tried_again_after_some_time() -> None:
    """Room that comes back must be found."""
    learned = room.Room(0)
    _answer(learned, _AFTER, slowed=1.6)
    CASE.assertEqual(learned.limit(_AFTER), 0.5)
    CASE.assertEqual(learned.limit(_AFTER + room.FADING_MS + 1), 0.75)


def test_targets_that_turn_calls_away_get_fewer_and_never_none() -> None:
    """A target that hangs when full must not be filled."""
    learned = room.Room(0)
    for second in range(1, 20):
        learned.record_shed(second * _AFTER)
    CASE.assertEqual(learned.limit(20 * _AFTER), 0.5)


def test_usual_time_follows_and_the_least_hardly_rises() -> None:
    """A few slow targets must not hide how quickly others answer."""
    times = room.WorkTimes()
    CASE.assertEqual(times.usual('prices').mean_ms, 0)
    for _ in range(50):
        times.record('prices', 100)
    for _ in range(30):
        times.record('prices', 400)
    usual = times.usual('prices')
    CASE.assertGreater(usual.mean_ms, 300)
    CASE.assertLess(usual.least_ms, 120)


def test_slots_above_the_limit_are_for_ranks_that_need_no_more() -> None:
    """A rank that asks for most of the work must not fill up targets."""
    demand = room.Demand()
    for _ in range(9):
        demand.record((1, 0), 300, 0)
    demand.record((0, 2), 300, 0)
    CASE.assertAlmostEqual(demand.part_through((0, 2)), 0.1)
    CASE.assertAlmostEqual(demand.part_through((1, 0)), 1)
    CASE.assertEqual(demand.part_through((0, 0)), 0)
    for _ in range(9):
        demand.record((0, 2), 300, 4 * room.DEMAND_MEMORY_MS)
    CASE.assertGreater(demand.part_through((0, 2)), 0.9)
