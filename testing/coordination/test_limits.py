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


def test_allowance_doubles_up_to_all_slots_on_served_work() -> None:
    """The allowance must double after enough answers, up to all slots."""
    growth = allowance.Allowance(slots=6, cold=True)
    seen = [growth.current]
    for _answer in range(60):
        if growth.record_served(1):
            seen.append(growth.current)
    # The last step marks the target as warm at full concurrency.
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
    """Any order of events must leave at least 1 call and at most all slots."""
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
def test_retries_never_exceed_their_fraction_of_new_calls(
    events: list[bool],
) -> None:
    """No order of calls and failures may let retries exceed the budget."""
    budget = retry_budget.RetryBudget(ratio=0.1)
    new_calls = 0
    retries = 0
    for is_new_call in events:
        if is_new_call:
            budget.deposit()
            new_calls += 1
        elif budget.withdraw():
            retries += 1
        CASE.assertLessEqual(
            retries,
            retry_budget.RESERVE_TOKENS + 0.1 * new_calls + 1e-6,
        )


def test_request_that_breaks_three_targets_in_a_row_is_blocked() -> None:
    """A request must not crash one target after another.

    It is blocked after three targets, until the block expires.
    """
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
    """A failed rack ends many runs at once, which must not block requests."""
    time_source = clock.ManualClock(start=1000)
    guard = crash_guard.CrashGuard(time_source)
    guard.record(b'popular', 'a', ran_for=50)
    time_source.advance(1)
    CASE.assertFalse(guard.record(b'popular', 'b', ran_for=50))
    CASE.assertFalse(guard.is_blocked(b'popular'))


def test_good_answer_clears_a_request() -> None:
    """A successful answer between failures must reset the count."""
    time_source = clock.ManualClock()
    guard = crash_guard.CrashGuard(time_source)
    guard.record(b'popular', 'a', ran_for=5)
    CASE.assertTrue(guard.clear(b'popular'))
    time_source.advance(10)
    CASE.assertFalse(guard.record(b'popular', 'b', ran_for=5))
