"""Tests of the bound on the nesting of JSON documents."""

from __future__ import annotations

import json
import typing
import unittest

from mulberryquay.coordination import errors, json_documents

CASE: typing.Final = unittest.TestCase()

_DEPTH: typing.Final = json_documents.MAX_DEPTH


def _arrays(depth: int) -> bytes:
    return b'[' * depth + b']' * depth


def _objects(depth: int) -> bytes:
    return b'{"a":' * depth + b'1' + b'}' * depth


def test_documents_up_to_the_depth_are_decoded() -> None:
    """Guards against a bound that refuses what it allows."""
    for body in (_arrays(_DEPTH), _objects(_DEPTH - 1), b'1', b'"x"', b'null'):
        CASE.assertEqual(json_documents.decode(body), json.loads(body))


def test_documents_beyond_the_depth_are_a_typed_error() -> None:
    """Guards against a RecursionError, at this or at a later step."""
    for depth in (_DEPTH + 1, 500, 990, 100_000):
        for body in (_arrays(depth), _objects(depth), b'[' * depth):
            with CASE.assertRaises(ValueError):
                json_documents.decode(body)
        with CASE.assertRaises(errors.InvalidInputError):
            json_documents.decode(_arrays(depth))
