"""Tests of choosing by expected time."""

from __future__ import annotations

import random
import typing
import unittest

from mulberryquay.coordination import clock
from mulberryquay.entry import dialect, targets
from mulberryquay.entry.policies import expected_time
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def _new_target_state(
    time_source: clock.Clock,
    name: str,
    *,
    tier: int = 0,
    slowness: float = 1,
    running: int = 0,
) -> targets.TargetState:
    row = fixtures.warm_row(name, '127.0.0.1:1')
    state = targets.TargetState(row, time_source)
    state.tier = tier
    state.limit = 10
    state.record_report(dialect.LoadReport(running, 0, slowness), age=0)
    return state


def _choose_name(
    time_source: clock.Clock,
    *candidates: targets.TargetState,
) -> str:
    policy = expected_time.ExpectedTime(random.Random(1))
    return policy.choose(candidates, time_source.now()).row.name


def test_idle_near_target_is_preferred() -> None:
    """A call must not leave the domain when the near target is as good."""
    time_source = clock.ManualClock(start=1000)
    near = _new_target_state(time_source, 'near')
    other = _new_target_state(time_source, 'other', tier=1)
    CASE.assertEqual(_choose_name(time_source, other, near), 'near')


def test_slow_near_host_loses_to_another_domain_but_not_region() -> None:
    """A slow near host must not cause calls to another region.

    Another domain is worth its cost, but the cost of another region exceeds
    the time that it would save.
    """
    time_source = clock.ManualClock(start=1000)
    near = _new_target_state(time_source, 'near', slowness=4)
    other = _new_target_state(time_source, 'other', tier=1)
    far = _new_target_state(time_source, 'far', tier=2)
    CASE.assertEqual(_choose_name(time_source, near, other, far), 'other')
    CASE.assertEqual(_choose_name(time_source, near, far), 'near')


def test_report_of_a_slow_host_expires() -> None:
    """An old report of slowness must not keep calls away from a target.

    Hosts stay slow for only some hundred milliseconds.
    """
    time_source = clock.ManualClock(start=1000)
    near = _new_target_state(time_source, 'near', slowness=4)
    other = _new_target_state(time_source, 'other', tier=1)
    time_source.advance(2000)
    CASE.assertEqual(_choose_name(time_source, near, other), 'near')


def test_queue_at_a_target_raises_its_expected_time() -> None:
    """A call must not go to a near target where it would wait for a slot."""
    time_source = clock.ManualClock(start=1000)
    busy = _new_target_state(time_source, 'busy', running=7)
    idle = _new_target_state(time_source, 'idle', tier=1)
    CASE.assertEqual(_choose_name(time_source, busy, idle), 'idle')


def test_target_at_its_load_limit_has_no_capacity() -> None:
    """A target at its load limit must get no call while its report is fresh.

    Some targets silently drop calls when their queue is full.
    """
    time_source = clock.ManualClock(start=1000)
    busy = _new_target_state(time_source, 'busy', running=8)
    CASE.assertTrue(busy.has_capacity)
    busy.load_limit = 2
    CASE.assertFalse(busy.has_capacity)
    time_source.advance(500)
    CASE.assertTrue(busy.has_capacity)


def test_target_with_late_answers_is_avoided_for_a_while() -> None:
    """A target with late answers must not be chosen like the others.

    Its host may be slow without reporting slowness.
    """
    time_source = clock.ManualClock(start=1000)
    near = _new_target_state(time_source, 'near')
    others = [
        _new_target_state(time_source, f'other-{number}', tier=1)
        for number in range(3)
    ]
    for state in (near, *others):
        state.record_answer(100, reported=None)
    for _ in range(8):
        near.record_timeout(1500)
    near.suspended_until = 0
    for state in (near, *others):
        state.record_report(dialect.LoadReport(0, 0, 1), age=0)
    CASE.assertNotEqual(_choose_name(time_source, near, *others), 'near')
    time_source.advance(15_000)
    CASE.assertEqual(_choose_name(time_source, near, *others), 'near')


def test_target_with_reassigned_address_is_suspended_at_once() -> None:
    """A target must not be tried again soon if another one has its address."""
    time_source = clock.ManualClock(start=1000)
    reassigned = _new_target_state(time_source, 'gone')
    reassigned.record_address_reused()
    time_source.advance(4000)
    CASE.assertGreater(reassigned.suspended_until, time_source.now())
    reassigned.record_answer(5, reported=None)
    CASE.assertFalse(reassigned.has_failed)


def test_target_known_to_be_idle_wins_over_those_with_old_reports() -> None:
    """Guards against choosing an unknown target as if it were an idle one."""
    time_source = clock.ManualClock(start=1000)
    unknown = [
        _new_target_state(time_source, f'old-{number}', slowness=slowness)
        for number, slowness in enumerate((1, 1, 4, 1, 1, 4))
    ]
    time_source.advance(1000)
    idle = _new_target_state(time_source, 'idle')
    slow = _new_target_state(time_source, 'slow', slowness=4)
    policy = expected_time.ExpectedTime(random.Random(1))
    for _ in range(30):
        chosen = policy.choose([*unknown, slow, idle], time_source.now())
        CASE.assertEqual(chosen.row.name, 'idle')
    chosen = policy.choose([*unknown, slow], time_source.now())
    CASE.assertNotEqual(chosen.row.name, 'slow')


def test_usual_load_is_expected_of_a_target_with_an_old_report() -> None:
    """A target must not count as idle because its report is old."""
    time_source = clock.ManualClock(start=1000)
    busy = [
        _new_target_state(time_source, f'busy-{number}', running=9)
        for number in range(3)
    ]
    time_source.advance(1000)
    half_full = _new_target_state(time_source, 'half-full', running=3)
    policy = expected_time.ExpectedTime(random.Random(1))
    for _ in range(30):
        chosen = policy.choose([*busy, half_full], time_source.now())
        CASE.assertEqual(chosen.row.name, 'half-full')


def test_probe_of_another_region_may_take_two_round_trips() -> None:
    """A far target must not be penalized because it was asked for its load."""
    time_source = clock.ManualClock(start=1000)
    near = _new_target_state(time_source, 'near')
    far = _new_target_state(time_source, 'far', tier=2)
    for state in (near, far):
        state.begin_load_probe()
    time_source.advance(50)
    CASE.assertGreater(near.probe_delay_penalty_ms, 0)
    CASE.assertEqual(far.probe_delay_penalty_ms, 0)
    time_source.advance(50)
    CASE.assertGreater(far.probe_delay_penalty_ms, 0)
