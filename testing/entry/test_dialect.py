"""Tests of reading the headers that targets set."""

from __future__ import annotations

import typing
import unittest

from mulberryquay.entry import dialect, http_heads

CASE: typing.Final = unittest.TestCase()


def test_load_that_is_no_small_number_is_ignored() -> None:
    """A load report must not raise, whatever a target sends."""
    CASE.assertEqual(dialect.parse_count(b'7'), dialect.LoadReport(7))
    for text in (b'', b'-1', b'1.5', b'x', b'9' * 5000, b'\xd9\xa1'):
        CASE.assertIsNone(dialect.parse_count(text))


def test_rate_limit_that_is_no_decimal_number_is_ignored() -> None:
    """A rate limit must not raise, and not be infinite or negative."""
    CASE.assertEqual(http_heads.parse_decimal(b'2.25'), 2.25)
    CASE.assertEqual(http_heads.parse_decimal(b'0'), 0)
    for text in (b'', b'-1', b'1e9', b'inf', b'nan', b'1_0', b'9' * 5000):
        CASE.assertIsNone(http_heads.parse_decimal(text))
