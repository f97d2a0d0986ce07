"""Tests that the reference pages agree with the code."""

from __future__ import annotations

import pathlib
import typing
import unittest

from mulberryquay.commands import reference
from testing import fixtures

CASE: typing.Final = unittest.TestCase()
_DOCS: typing.Final = pathlib.Path(__file__).parents[2] / 'docs'


def test_reference_pages_are_up_to_date() -> None:
    """Guards against pages not regenerated (``make docs``) after a change."""
    for name, text in reference.pages(fixtures.KERNEL).items():
        CASE.assertEqual(
            (_DOCS / name).read_text(), text, f'run make docs: {name}'
        )
