"""Tests of which requests count as crashing their targets."""

from __future__ import annotations

import typing
import unittest

from mulberryquay.coordination import clock, crash_guard

CASE: typing.Final = unittest.TestCase()


def test_expired_block_is_not_counted() -> None:
    """A block must end everywhere at once, whether or not it is asked for."""
    time_source = clock.ManualClock()
    guard = crash_guard.CrashGuard(time_source)
    guard.block(b'order', duration=1000)
    guard.block(b'other', duration=500)
    CASE.assertEqual(guard.blocked_count, 2)
    time_source.advance(600)
    CASE.assertEqual(guard.blocked_count, 1)
    CASE.assertFalse(guard.is_idle)
    time_source.advance(600)
    CASE.assertEqual(guard.blocked_count, 0)
    CASE.assertTrue(guard.is_idle)
    CASE.assertFalse(guard.is_blocked(b'order'))


def test_expired_failures_leave_the_guard_idle() -> None:
    """Requests must not be hashed forever after one lost connection."""
    time_source = clock.ManualClock()
    guard = crash_guard.CrashGuard(time_source)
    guard.record(b'order', 'a', ran_for=0)
    time_source.advance(crash_guard.BLOCK_MS / 2)
    guard.record(b'other', 'a', ran_for=0)
    CASE.assertFalse(guard.is_idle)
    time_source.advance(crash_guard.BLOCK_MS + 1)
    CASE.assertTrue(guard.is_idle)
