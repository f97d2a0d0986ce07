"""Decodes JSON from outside, whose nesting is bounded."""

from __future__ import annotations

import json
import typing

from mulberryquay.coordination import errors

#: Limit of arrays and objects within each other.
MAX_DEPTH: typing.Final = 64


@typing.final
class NestedTooDeeplyError(errors.InvalidInputError, ValueError):
    """Arrays or objects are within more others than MAX_DEPTH."""

    code = 'nested-too-deeply'


def decode(body: bytes) -> typing.Any:
    """Returns the decoded document.

    Raises ValueError, as `json.loads` does, and NestedTooDeeplyError.
    """
    try:
        document = json.loads(body)
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
