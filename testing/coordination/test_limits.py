"""Tests of allowance, retry budget and crash guard."""

from __future__ import annotations

import typing
import unittest

import hypothesis
from hypothesis import strategies

from mulberryquay.coordination import (
    allowance,
    clock,
    crash_guard,
    retry_budget,
)
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def test_allowance_doubles_on_served_work_only() -> None:
    """Time alone proves nothing about a cold target."""
    growth = allowance.Allowance(slots=6, cold=True)
    seen = [growth.current]
    for _answer in range(60):
        if growth.record_served(1):
            seen.append(growth.current)
    # The last step proves that the target bears all its slots.
    CASE.assertEqual(seen, [1, 2, 4, 6, 6])
    CASE.assertTrue(growth.is_warm)


@fixtures.hypothesis_settings()
@hypothesis.given(
    strategies.integers(1, 40),
    strategies.lists(strategies.sampled_from(('served', 'shed', 'cold'))),
)
def test_allowance_stays_within_its_bounds(
    slots: int,
    events: list[str],
) -> None:
    """At least one call, never more than the slots."""
    growth = allowance.Allowance(slots=slots, cold=True)
    for event in events:
        before = growth.current
        match event:
            case 'served':
                growth.record_served(3)
            case 'shed':
                growth.record_shed()
                CASE.assertLessEqual(growth.current, before)
            case _:
                growth.reset_cold()
                CASE.assertEqual(growth.current, 1)
        CASE.assertTrue(1 <= growth.current <= slots)


@fixtures.hypothesis_settings()
@hypothesis.given(strategies.lists(strategies.booleans(), max_size=400))
def test_resends_never_pass_their_share_of_fresh_calls(
    events: list[bool],
) -> None:
    """Whatever the order of calls and failures."""
    budget = retry_budget.RetryBudget(ratio=0.1)
    fresh = 0
    resent = 0
    for is_fresh in events:
        if is_fresh:
            budget.deposit()
            fresh += 1
        elif budget.withdraw():
            resent += 1
        CASE.assertLessEqual(
            resent,
            retry_budget.RESERVE_TOKENS + 0.1 * fresh + 1e-6,
        )


def test_request_that_breaks_three_targets_in_a_row_is_blocked() -> None:
    """The block ends by itself."""
    time_source = clock.ManualClock()
    guard = crash_guard.CrashGuard(time_source)
    CASE.assertFalse(guard.record(b'poison', 'a', ran_for=5))
    time_source.advance(10)
    CASE.assertFalse(guard.record(b'poison', 'b', ran_for=5))
    CASE.assertFalse(guard.is_blocked(b'poison'))
    time_source.advance(10)
    CASE.assertFalse(guard.record(b'poison', 'b', ran_for=5))
    time_source.advance(10)
    CASE.assertTrue(guard.record(b'poison', 'c', ran_for=5))
    CASE.assertTrue(guard.is_blocked(b'poison'))
    time_source.advance(crash_guard.BLOCK_MS)
    CASE.assertFalse(guard.is_blocked(b'poison'))


def test_targets_that_fail_together_block_nothing() -> None:
    """A rack that is lost breaks many runs that began before."""
    time_source = clock.ManualClock(start=1000)
    guard = crash_guard.CrashGuard(time_source)
    guard.record(b'popular', 'a', ran_for=50)
    time_source.advance(1)
    CASE.assertFalse(guard.record(b'popular', 'b', ran_for=50))
    CASE.assertFalse(guard.is_blocked(b'popular'))


def test_good_answer_clears_a_request() -> None:
    """One broken target in between is no pattern."""
    time_source = clock.ManualClock()
    guard = crash_guard.CrashGuard(time_source)
    guard.record(b'popular', 'a', ran_for=5)
    CASE.assertTrue(guard.clear(b'popular'))
    time_source.advance(10)
    CASE.assertFalse(guard.record(b'popular', 'b', ran_for=5))
