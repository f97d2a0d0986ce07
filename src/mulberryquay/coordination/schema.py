"""Checks the declared fields of a resource."""

from __future__ import annotations

import re
import typing

from mulberryquay.coordination import errors

Spec = dict[str, typing.Any]

NAME_RULE: typing.Final = '1 to 63 of a-z, 0-9, "-" and "."'
_NAME_PATTERN: typing.Final = re.compile('[a-z0-9]([a-z0-9.-]{0,62})')
_MAX_NAMES: typing.Final = 64
_MAX_WEIGHT: typing.Final = 1_000_000


@typing.final
class InvalidResourceError(errors.InvalidInputError):
    """A resource breaks the schema of its kind."""

    code = 'invalid-resource'


class Text(typing.NamedTuple):
    """A string; ``choices`` limits it if it is not empty."""

    required: bool = False
    default: str = ''
    choices: tuple[str, ...] = ()
    prefix: str = ''


class Integer(typing.NamedTuple):
    """A whole number between two bounds, both allowed."""

    minimum: int
    maximum: int
    default: int = 0
    required: bool = False


class Number(typing.NamedTuple):
    """A number between two bounds, both allowed."""

    minimum: float
    maximum: float
    default: float = 0


class Weights(typing.NamedTuple):
    """Names with a weight each, such as ``{"a": 90, "b": 10}``."""


class Flag(typing.NamedTuple):
    """True or false."""

    default: bool = False


class Names(typing.NamedTuple):
    """A list of resource names without repeats."""

    default: tuple[str, ...] = ()


Field = Text | Integer | Number | Flag | Names | Weights
Fields = typing.Mapping[str, Field]


def check_name(name: typing.Any, *, what: str) -> str:
    """Returns a valid resource name; raises InvalidResourceError."""
    if not isinstance(name, str) or not _NAME_PATTERN.fullmatch(name):
        raise InvalidResourceError(
            f'{what}: got {name!r}, expected {NAME_RULE}',
        )
    return name


def check_spec(spec: typing.Any, fields: Fields, *, what: str) -> Spec:
    """Returns the spec with defaults filled in.

    Raises InvalidResourceError for an unknown, missing or wrong field.
    """
    if not isinstance(spec, dict):
        raise InvalidResourceError(f'{what}: got {spec!r}, expected an object')
    unknown = sorted(set(spec) - set(fields))
    if unknown:
        expected = ', '.join(fields)
        raise InvalidResourceError(
            f'{what}: got unknown field {unknown[0]!r}, '
            f'expected only: {expected}',
        )
    return {
        field_name: _check_field(
            spec.get(field_name),
            field,
            what=f'{what}.{field_name}',
        )
        for field_name, field in fields.items()
    }


def _check_field(given: typing.Any, field: Field, *, what: str) -> typing.Any:
    match field:
        case Text():
            return _check_text(given, field, what=what)
        case Integer():
            return _check_integer(given, field, what=what)
        case Flag():
            if given is None:
                return field.default
            if not isinstance(given, bool):
                _refuse(given, 'true or false', what=what)
            return given
        case Names():
            return _check_names(given, field, what=what)
        case Number():
            return _check_number(given, field, what=what)
        case Weights():
            return _check_weights(given, what=what)


def _check_text(given: typing.Any, field: Text, *, what: str) -> str:
    if given is None and not field.required:
        return field.default
    if not isinstance(given, str) or not given:
        _refuse(given, 'a text that is not empty', what=what)
    if field.choices and given not in field.choices:
        _refuse(given, f'one of: {", ".join(field.choices)}', what=what)
    if not given.startswith(field.prefix):
        _refuse(given, f'a text that starts with {field.prefix!r}', what=what)
    return str(given)


def _check_integer(given: typing.Any, field: Integer, *, what: str) -> int:
    if given is None and not field.required:
        return field.default
    expected = f'a whole number from {field.minimum} to {field.maximum}'
    if isinstance(given, bool) or not isinstance(given, int):
        _refuse(given, expected, what=what)
    if not field.minimum <= given <= field.maximum:
        _refuse(given, expected, what=what)
    return int(given)


def _check_number(given: typing.Any, field: Number, *, what: str) -> float:
    if given is None:
        return field.default
    is_number = isinstance(given, (int, float)) and not isinstance(given, bool)
    if not is_number or not field.minimum <= given <= field.maximum:
        _refuse(
            given,
            f'a number from {field.minimum} to {field.maximum}',
            what=what,
        )
    return float(given)


def _check_weights(given: typing.Any, *, what: str) -> dict[str, float]:
    if given is None:
        return {}
    if not isinstance(given, dict) or len(given) > _MAX_NAMES:
        _refuse(given, f'an object of at most {_MAX_NAMES} names', what=what)
    weight = Number(0, _MAX_WEIGHT)
    return {
        name: _check_number(share, weight, what=f'{what}.{name}')
        for name, share in given.items()
    }


def _check_names(given: typing.Any, field: Names, *, what: str) -> list[str]:
    if given is None:
        return list(field.default)
    if not isinstance(given, list) or len(given) > _MAX_NAMES:
        _refuse(given, f'a list of at most {_MAX_NAMES} names', what=what)
    names = [check_name(name, what=what) for name in given]
    if len(set(names)) != len(names):
        _refuse(given, 'a list without repeats', what=what)
    return names


def _refuse(given: typing.Any, expected: str, *, what: str) -> typing.NoReturn:
    raise InvalidResourceError(f'{what}: got {given!r}, expected {expected}')
