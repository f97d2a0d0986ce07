"""Decodes JSON from outside, whose nesting and number of items are bounded."""

from __future__ import annotations

import json
import typing

from mulberryquay.coordination import errors

#: Limit of arrays and objects within each other.
MAX_DEPTH: typing.Final = 64

#: Limit of items and of arrays and objects together. Each takes up to some
#: hundred bytes of memory, many times its length in the document.
MAX_ITEMS: typing.Final = 500_000

_ITEM_BYTES: typing.Final = (b',', b'[', b'{')


@typing.final
class NestedTooDeeplyError(errors.InvalidInputError, ValueError):
    """Arrays or objects are within more others than MAX_DEPTH."""

    code = 'nested-too-deeply'


@typing.final
class TooManyItemsError(errors.InvalidInputError, ValueError):
    """Arrays and objects have more items than MAX_ITEMS."""

    code = 'too-many-items'


def decode(body: bytes) -> typing.Any:
    """Returns the decoded document.

    Raises ValueError, as `json.loads` does, also for bytes that are not
    UTF-8, NestedTooDeeplyError and TooManyItemsError.
    """
    if sum(body.count(byte) for byte in _ITEM_BYTES) > MAX_ITEMS:
        raise TooManyItemsError(
            f'got a document of more than {MAX_ITEMS} items, expected at most '
            'that',
        )
    text = body.decode('utf-8-sig')
    try:
        document = json.loads(text)
    except RecursionError as error:
        raise _too_deep() from error
    _check_depth(document)
    return document


def _check_depth(document: typing.Any) -> None:
    level = [document]
    for _ in range(MAX_DEPTH):
        level = [child for parent in level for child in _children(parent)]
        if not level:
            return
    raise _too_deep()


def _children(parent: typing.Any) -> typing.Iterable[typing.Any]:
    if isinstance(parent, dict):
        return parent.values()
    return parent if isinstance(parent, list) else ()


def _too_deep() -> NestedTooDeeplyError:
    return NestedTooDeeplyError(
        'got a document that is nested too deeply, expected at most '
        f'{MAX_DEPTH} levels',
    )
