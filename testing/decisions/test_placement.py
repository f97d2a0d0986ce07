"""Tests of placing calls: loads played without a network, and single cases.

Each load is played by one queue that sees all, by entries that ask targets
themselves, and by entries that share what they know.
"""

from __future__ import annotations

import collections
import math
import random
import statistics
import typing
import unittest

from mulberryquay.decisions import placement
from testing.decisions import played_loads

CASE: typing.Final = unittest.TestCase()

#: Longest time of one in a hundred callers relative to the ideal.
_GOAL: typing.Final = 1.15

_SEEDS: typing.Final = (0, 1, 2)

_OPTION: typing.Final = placement.Option(
    'a',
    tier=0,
    slots=3,
    own_calls=0,
    other_calls=0,
    report_age_ms=0,
    slowness=1,
    usual_ms=200,
)


class _Played(typing.NamedTuple):
    """The means over the seeds."""

    ideal: played_loads.Result
    alone: played_loads.Result
    shared: played_loads.Result


def _mean(load: played_loads.Load, player: typing.Any) -> played_loads.Result:
    results = [played_loads.Play(load, player, seed).run() for seed in _SEEDS]
    means = [
        statistics.fmean(figures) for figures in zip(*results, strict=True)
    ]
    return played_loads.Result(*means)


def _play(load: played_loads.Load) -> _Played:
    """Plays a load; checks the goal, and that sharing is needed for it."""
    played = _Played(
        _mean(load, played_loads.Ideal),
        _mean(load, played_loads.Alone),
        _mean(load, played_loads.Shared),
    )
    goal = _GOAL * played.ideal.p99
    CASE.assertLessEqual(played.shared.p99, goal, played)
    CASE.assertGreater(played.alone.p99, goal, played)
    CASE.assertLess(played.shared.probes, played.alone.probes / 2, played)
    CASE.assertLess(played.shared.connections, played.alone.connections, played)
    return played


def test_phases_of_demand_a_third_apart() -> None:
    """A domain's peak must not wait beside the room of others (issue 44).

    The target with most calls has no more than with one queue that sees all.
    """
    played = _play(played_loads.Load(swing=0.5, phase=1 / 3))
    CASE.assertLessEqual(played.shared.greatest, played.ideal.greatest, played)
    CASE.assertLess(played.shared.crossed_region, 0.01, played)


def test_one_domain_with_two_of_eight_targets() -> None:
    """Calls of a domain short of targets must leave it, and only those."""
    played = _play(played_loads.Load(targets=(2, 8, 8, 8, 8, 8)))
    CASE.assertGreater(played.shared.crossed_domain, 0.05, played)
    CASE.assertLess(played.shared.crossed_domain, 1 / 6, played)


def test_every_fourth_target_slower_and_changing() -> None:
    """Calls must not go to targets that are slow at the moment (issue 44)."""
    played = _play(played_loads.Load(slow_part=0.25, slow_factor=4))
    CASE.assertLess(played.shared.crossed_domain, 0.05, played)


def test_domain_out_for_seven_seconds_and_back_cold() -> None:
    """One region's calls must reach the other regions while it is short."""
    played = _play(played_loads.Load(out_ms=(1000, 8000), seconds=10))
    CASE.assertLess(played.shared.crossed_region, 0.05, played)


def test_picture_that_is_a_second_old() -> None:
    """Entries with one stale picture must not all choose one target."""
    played = _play(played_loads.Load(picture_age_ms=1000))
    CASE.assertLessEqual(
        played.shared.greatest, 1.1 * played.ideal.greatest, played
    )


def test_entries_with_one_stale_picture_spread_their_calls() -> None:
    """Near equals must share the calls, by how old their reports are."""
    options = [
        _OPTION._replace(
            name=str(number), report_age_ms=1000, slowness=1 + number / 100
        )
        for number in range(8)
    ]
    chosen = collections.Counter(
        placement.Soonest(random.Random(entry)).place(options)
        for entry in range(400)
    )
    CASE.assertEqual(len(chosen), len(options))
    CASE.assertLess(max(chosen.values()), 100)


def test_open_connection_decides_among_near_equals() -> None:
    """A new connection must not be opened where one is idle next door."""
    options = [_OPTION] * 10
    options[3] = _OPTION._replace(is_connected=True)
    decision = placement.Soonest(random.Random(1))
    chosen = collections.Counter(decision.place(options) for _ in range(1000))
    CASE.assertGreater(chosen[3], 300)
    options[3] = options[3]._replace(slowness=4)
    CASE.assertNotEqual(decision.place(options), 3)


def test_failing_target_is_avoided_but_not_all_of_them() -> None:
    """A target that answers errors fast must not draw the calls."""
    decision = placement.Soonest(random.Random(1))
    failing = _OPTION._replace(failing=0.5, pace=0.5)
    chosen = {decision.place([failing, _OPTION, _OPTION]) for _ in range(50)}
    CASE.assertNotIn(0, chosen)
    far = _OPTION._replace(tier=2)
    CASE.assertEqual(decision.place([failing, failing, far]) // 2, 0)


def test_overflow_begins_late_and_ends_early() -> None:
    """Domains must not pass the same calls to each other and back.

    A gain that doesn't begin the overflow keeps it going, in part.
    """
    decision = placement.Soonest(random.Random(1))
    away = _OPTION._replace(tier=1)

    def crossed(slowness: float) -> int:
        home = _OPTION._replace(slowness=slowness)
        return sum(decision.place([home, away]) for _ in range(200))

    CASE.assertEqual(crossed(1.6), 0)
    CASE.assertEqual(crossed(4), 200)
    still_crossing = crossed(1.6)
    CASE.assertGreater(still_crossing, 0)
    CASE.assertLess(still_crossing, 200)
    CASE.assertEqual(crossed(1), 0)
    CASE.assertEqual(crossed(1.6), 0)


def test_choice_without_any_report_is_made() -> None:
    """An entry that knows nothing yet must choose near by."""
    blank = _OPTION._replace(report_age_ms=math.inf, usual_ms=0)
    decision = placement.Soonest(random.Random(1))
    options = [blank._replace(tier=tier) for tier in (2, 1, 0)]
    CASE.assertEqual(decision.place(options), 2)
