"""Tests of what the entries of a failure domain know together."""

from __future__ import annotations

import random
import typing
import unittest

from mulberryquay.decisions import sightings

CASE: typing.Final = unittest.TestCase()

_SLOTS: typing.Final = {f't{number}': 3 for number in range(8)}


def _calls(picture: sightings.DomainPicture, now: float) -> float:
    return picture.sightings(['t0'], now)[0].calls


def test_calls_after_a_report_are_counted() -> None:
    """A report must not hide the calls that came after it."""
    picture = sightings.DomainPicture(random.Random(1))
    picture.report('t0', 1, 1, reported_at=1000)
    picture.begin_call('t0', 1010)
    picture.begin_call('t0', 1020)
    CASE.assertAlmostEqual(_calls(picture, 1020), 3, delta=0.1)
    picture.end_call('t0', 1030, 20, has_failed=False)
    CASE.assertAlmostEqual(_calls(picture, 1030), 2, delta=0.1)
    picture.report('t0', 2, 1, reported_at=1040)
    CASE.assertAlmostEqual(_calls(picture, 1040), 2, delta=0.1)


def test_lost_note_of_an_end_is_corrected_by_the_next_report() -> None:
    """A lost datagram must not make a target look busy for ever."""
    picture = sightings.DomainPicture(random.Random(1))
    picture.begin_call('t0', 1000)
    CASE.assertEqual(_calls(picture, 1000), 1)
    picture.report('t0', 0, 1, reported_at=1100)
    CASE.assertEqual(_calls(picture, 1100), 0)
    picture.begin_call('t0', 1200)
    picture.begin_call('t0', 9000)
    CASE.assertEqual(_calls(picture, 9000), 1)


def test_call_on_its_way_is_counted_beside_a_report() -> None:
    """A call that the target can't report yet must not vanish."""
    picture = sightings.DomainPicture(random.Random(1))
    picture.begin_call('t0', 999.5)
    picture.report('t0', 0, 1, reported_at=1000)
    CASE.assertEqual(_calls(picture, 1000), 1)


def test_few_targets_are_asked_and_each_once() -> None:
    """Questions must not grow with the targets of a domain (issue 44)."""
    picture = sightings.DomainPicture(random.Random(1))
    asked = picture.targets_to_ask(_SLOTS, 1000)
    CASE.assertLess(len(asked), len(_SLOTS) / 2)
    CASE.assertFalse(set(asked) & set(picture.targets_to_ask(_SLOTS, 1001)))
    for name in asked:
        picture.report(name, 0, 1, reported_at=1002)
    CASE.assertEqual(picture.targets_to_ask(_SLOTS, 1010), [])
    for name in asked:
        picture.report(name, 0, 4, reported_at=1011)
    others = picture.targets_to_ask(_SLOTS, 1012)
    CASE.assertTrue(others)
    CASE.assertFalse(set(others) & set(asked))


def test_slow_and_failing_targets_are_known_to_all() -> None:
    """One entry's bad experience must reach the others, and fade."""
    picture = sightings.DomainPicture(random.Random(1))
    for number in range(40):
        now = 1000.0 + number
        for name in ('t3', 't4', 't5', 't6'):
            picture.end_call(name, now, 100 + number % 5 * 20, has_failed=False)
        picture.end_call('t0', now, 500, has_failed=False)
        picture.end_call('t2', now, 0, has_failed=True)
    slow, usual, failing = picture.sightings(['t0', 't3', 't2'], 1040)
    CASE.assertGreater(slow.pace, 1.3)
    CASE.assertEqual(usual.pace, 1)
    CASE.assertGreater(failing.failing, 0.9)
    CASE.assertEqual(slow.failing, 0)
    faded = picture.sightings(['t2'], 20_000)[0]
    CASE.assertLess(faded.failing, 0.01)


def test_targets_that_are_gone_are_forgotten() -> None:
    """The picture must not grow with the targets of a day."""
    picture = sightings.DomainPicture(random.Random(1))
    picture.report('t0', 3, 4, reported_at=1000)
    picture.retain(['t1'])
    CASE.assertEqual(_calls(picture, 1001), 0)
