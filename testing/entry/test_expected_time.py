"""Tests of choosing by expected time and of asking before the choice."""

from __future__ import annotations

import random
import typing
import unittest

import gevent

from mulberryquay import protocol
from mulberryquay.coordination import clock
from mulberryquay.entry import dialect, load_prober, targets
from mulberryquay.entry.policies import expected_time

CASE: typing.Final = unittest.TestCase()


def _target(
    time_source: clock.Clock,
    name: str,
    *,
    tier: int = 0,
    slowness: float = 1,
    running: int = 0,
) -> targets.TargetState:
    row = protocol.TargetRow(
        name=name,
        service='stock',
        address='127.0.0.1:1',
        region='north',
        domain='north-1',
        slots=4,
        connections=100,
        incarnation=1,
        allowance=4,
        is_warm=True,
        is_leaving=False,
        shed_statuses=[],
    )
    known = targets.TargetState(row, time_source)
    known.tier = tier
    known.limit = 10
    known.record_report(dialect.LoadReport(running, 0, slowness), age=0)
    return known


def _chosen(
    time_source: clock.Clock,
    *candidates: targets.TargetState,
) -> str:
    policy = expected_time.ExpectedTime(random.Random(1))
    return policy.choose(candidates, time_source.now()).row.name


def test_idle_target_nearby_goes_before_all() -> None:
    """Even before an equal one in the next domain."""
    time_source = clock.ManualClock(start=1000)
    near = _target(time_source, 'near')
    other = _target(time_source, 'other', tier=1)
    CASE.assertEqual(_chosen(time_source, other, near), 'near')


def test_slow_host_nearby_loses_to_the_next_domain_not_to_a_region() -> None:
    """Bytes between regions cost more than the time that they win."""
    time_source = clock.ManualClock(start=1000)
    near = _target(time_source, 'near', slowness=4)
    other = _target(time_source, 'other', tier=1)
    far = _target(time_source, 'far', tier=2)
    CASE.assertEqual(_chosen(time_source, near, other, far), 'other')
    CASE.assertEqual(_chosen(time_source, near, far), 'near')


def test_report_of_a_slow_host_is_forgotten() -> None:
    """Hosts are slow for some hundred milliseconds only."""
    time_source = clock.ManualClock(start=1000)
    near = _target(time_source, 'near', slowness=4)
    other = _target(time_source, 'other', tier=1)
    time_source.advance(2000)
    CASE.assertEqual(_chosen(time_source, near, other), 'near')


def test_queue_at_a_target_counts() -> None:
    """More calls than slots wait there."""
    time_source = clock.ManualClock(start=1000)
    busy = _target(time_source, 'busy', running=7)
    idle = _target(time_source, 'idle', tier=1)
    CASE.assertEqual(_chosen(time_source, busy, idle), 'idle')


def test_target_at_its_load_limit_has_no_room() -> None:
    """Some targets drop calls without a word when their queue is full."""
    time_source = clock.ManualClock(start=1000)
    busy = _target(time_source, 'busy', running=8)
    CASE.assertTrue(busy.has_capacity)
    busy.load_limit = 2
    CASE.assertFalse(busy.has_capacity)
    time_source.advance(500)
    CASE.assertTrue(busy.has_capacity)


def test_target_whose_answers_came_late_is_avoided_for_a_while() -> None:
    """Its host may be slow without saying so."""
    time_source = clock.ManualClock(start=1000)
    near = _target(time_source, 'near')
    others = [
        _target(time_source, f'other-{number}', tier=1) for number in range(3)
    ]
    for known in (near, *others):
        known.record_answer(100, reported=None)
    for _ in range(8):
        near.record_timeout(1500)
    near.suspended_until = 0
    for known in (near, *others):
        known.record_report(dialect.LoadReport(0, 0, 1), age=0)
    CASE.assertNotEqual(_chosen(time_source, near, *others), 'near')
    time_source.advance(15_000)
    CASE.assertEqual(_chosen(time_source, near, *others), 'near')


class _Asking:
    """Answers questions at once and counts them."""

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.slowness: dict[str, float] = {}

    def ask_load(self, target: targets.TargetState) -> gevent.Greenlet:
        """Reports the load that was set."""
        name = target.row.name
        self.asked.append(name)
        report = dialect.LoadReport(0, 0, self.slowness.get(name, 1))
        return gevent.spawn(target.record_report, report, age=0)


def test_farther_targets_are_asked_only_when_near_ones_are_slow() -> None:
    """And none whose report is fresh."""
    time_source = clock.ManualClock(start=1000)
    near = _target(time_source, 'near')
    other = _target(time_source, 'other', tier=1)
    far = _target(time_source, 'far', tier=2)
    asking = _Asking()
    scouting = load_prober.LoadProber(
        typing.cast(typing.Any, asking), time_source
    )
    scouting.refresh_reports([far, other, near])
    CASE.assertEqual(asking.asked, [])
    time_source.advance(500)
    scouting.refresh_reports([far, other, near])
    CASE.assertEqual(asking.asked, ['near'])
    asking.slowness['near'] = 4
    time_source.advance(500)
    scouting.refresh_reports([far, other, near])
    CASE.assertEqual(asking.asked, ['near', 'near', 'other'])
    time_source.advance(500)
    scouting.refresh_reports([far])
    CASE.assertEqual(asking.asked[3:], ['far'])


def test_target_whose_address_went_to_another_is_left_at_once() -> None:
    """It is no target that failed once; nothing listens under its name."""
    time_source = clock.ManualClock(start=1000)
    gone = _target(time_source, 'gone')
    gone.record_address_reused()
    time_source.advance(4000)
    CASE.assertGreater(gone.suspended_until, time_source.now())
    gone.record_answer(5, reported=None)
    CASE.assertFalse(gone.has_failed)
