"""Tests of the bounds on the nesting and the items of JSON documents."""

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


def test_documents_beyond_the_number_of_items_are_a_typed_error() -> None:
    """Guards against items that take far more memory than the document.

    Issue 47.
    """
    most = json_documents.MAX_ITEMS
    whole = b'[' + b'1,' * (most - 1) + b'1]'
    CASE.assertEqual(len(json_documents.decode(whole)), most)
    for body in (
        b'[' + b'1,' * most + b'1]',
        b'[' + b'[],' * most + b'[]]',
        b'{"a":' + b'[{},{}],' * most,
    ):
        with CASE.assertRaises(json_documents.TooManyItemsError):
            json_documents.decode(body)


def test_bytes_in_another_encoding_are_refused() -> None:
    """Guards against documents that each reader understands differently."""
    for encoding in ('utf-16', 'utf-16-le', 'utf-32'):
        with CASE.assertRaises(ValueError):
            json_documents.decode('{"a": "ö"}'.encode(encoding))
    with CASE.assertRaises(ValueError):
        json_documents.decode(b'"\xed\xa0\x80"')
    CASE.assertEqual(json_documents.decode(b'\xef\xbb\xbf{"a": 1}'), {'a': 1})
