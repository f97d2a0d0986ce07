"""Tests of whether a request without a target waits."""

from __future__ import annotations

import math
import random
import typing
import unittest

from mulberryquay.decisions import refusal

CASE: typing.Final = unittest.TestCase()

#: One request ahead, ten calls at once: a target is expected within 60 ms.
_SOON: typing.Final = refusal.Prospect(
    work_ahead_ms=300,
    room=10,
    work_ms=300,
    deviation_ms=50,
    measured_wait_ms=0,
    left_ms=1000,
    objective_ms=800,
    objective_left_ms=800,
    waited_ms=0,
    is_patient=False,
    is_contended=False,
    is_hasty=False,
    knowledge_age_ms=0,
)


def _decide(**changed: typing.Any) -> refusal.Decision:
    return refusal.decide(_SOON._replace(**changed), random.Random(1))


def test_request_waits_if_its_turn_comes_in_time() -> None:
    """A refusal with targets about to be free costs callers an answer."""
    CASE.assertIsInstance(_decide(), refusal.Wait)
    CASE.assertIsInstance(_decide(is_contended=True), refusal.Wait)


def test_request_that_cannot_be_in_time_is_refused_at_once() -> None:
    """A request must not be held when its end is known."""
    for hopeless in (
        {'work_ahead_ms': 20_000},
        {'measured_wait_ms': 900},
        {'left_ms': 100},
        {'room': 0},
    ):
        CASE.assertIsInstance(_decide(**hopeless), refusal.Refuse, hopeless)


def test_late_request_gives_way_only_to_others() -> None:
    """An answer after the objective is worth less, but more than none."""
    late = {'objective_left_ms': 200}
    CASE.assertIsInstance(_decide(**late), refusal.Wait)
    CASE.assertIsInstance(_decide(**late, is_contended=True), refusal.Refuse)


def test_competing_request_is_told_in_the_first_moments() -> None:
    """A refused caller must have time to come back."""
    first = _decide(is_contended=True)
    assert isinstance(first, refusal.Wait)
    CASE.assertLessEqual(first.until_ms, 800 / 8)
    later = _decide(is_contended=True, waited_ms=first.until_ms + 1)
    CASE.assertIsInstance(later, refusal.Refuse)


def test_old_knowledge_refuses_nothing() -> None:
    """An entry that was cut off must not refuse by guess."""
    CASE.assertIsInstance(
        _decide(work_ahead_ms=20_000, knowledge_age_ms=math.inf), refusal.Wait
    )


def test_unknown_work_is_not_refused() -> None:
    """An entry that has just started knows no times."""
    unknown = {'work_ahead_ms': 0, 'work_ms': 0, 'deviation_ms': 0}
    CASE.assertIsInstance(_decide(**unknown, left_ms=50), refusal.Wait)


def test_returns_are_spread_and_leave_time_for_the_request() -> None:
    """Callers who all return at one moment are refused together again."""
    rng = random.Random(43)
    refused = [
        refusal.decide(_SOON._replace(work_ahead_ms=20_000), rng)
        for _ in range(200)
    ]
    told = sorted(
        decision.retry_after_ms
        for decision in refused
        if isinstance(decision, refusal.Refuse)
    )
    CASE.assertEqual(len(told), 200)
    CASE.assertLessEqual(told[-1], 1000 / 3)
    CASE.assertGreater(told[-1] - told[0], 1000 / 3 * 0.25)


def test_hasty_return_does_not_wait_while_others_compete() -> None:
    """Callers who come back sooner than told must gain nothing by it."""
    CASE.assertIsInstance(_decide(is_hasty=True), refusal.Wait)
    CASE.assertIsInstance(
        _decide(is_hasty=True, is_contended=True), refusal.Refuse
    )
    CASE.assertTrue(refusal.is_hasty(age_ms=20, objective_ms=800))
    for age_ms in (0, 600):
        CASE.assertFalse(refusal.is_hasty(age_ms=age_ms, objective_ms=800))


def test_no_caller_is_told_to_return_hastily() -> None:
    """Whoever returns as told must be allowed to wait."""
    rng = random.Random(43)
    for left_ms, work_ms in ((1250, 140), (2700, 240), (2600, 350)):
        objective_ms = left_ms / 3
        refused = refusal.decide(
            _SOON._replace(
                room=0,
                work_ms=work_ms,
                left_ms=left_ms,
                objective_ms=objective_ms,
                objective_left_ms=objective_ms,
                is_contended=True,
            ),
            rng,
        )
        assert isinstance(refused, refusal.Refuse)
        CASE.assertFalse(
            refusal.is_hasty(
                age_ms=refused.retry_after_ms, objective_ms=objective_ms
            )
        )


def test_contention_fades_without_requests() -> None:
    """Requests must not be refused for a crowd that is gone."""
    waits = refusal.Waits()
    for _ in range(20):
        waits.record_end(0, is_lost=True)
        waits.record_wait(100, 0)
    CASE.assertTrue(waits.is_contended(0))
    CASE.assertGreater(waits.expected_ms(0), 90)
    CASE.assertFalse(waits.is_contended(15_000))
    CASE.assertLess(waits.expected_ms(15_000), 1)


def test_patient_requests_end_a_contention_that_is_over() -> None:
    """Short waits must not outlast the load for which they were set."""
    patient = _decide(is_patient=True, is_contended=True, waited_ms=200)
    CASE.assertIsInstance(patient, refusal.Wait)
    waits = refusal.Waits()
    for _ in range(20):
        waits.record_end(0, is_lost=True)
    for _ in range(12):
        waits.record_end(0, is_lost=False)
    CASE.assertFalse(waits.is_contended(0))
