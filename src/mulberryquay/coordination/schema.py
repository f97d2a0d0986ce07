"""Checks a resource against the declared fields of its kind."""

from __future__ import annotations

import re
import reprlib
import typing

from mulberryquay.coordination import errors

Spec = dict[str, typing.Any]

NAME_RULE: typing.Final = (
    '1 to 63 characters from a-z, 0-9, "-" and ".", the first one from a-z '
    'and 0-9'
)
_NAME_PATTERN: typing.Final = re.compile('[a-z0-9]([a-z0-9.-]{0,62})')
_HEX_PATTERN: typing.Final = re.compile('[0-9a-f]+')
_MAX_NAMES: typing.Final = 64
_MAX_DIGESTS: typing.Final = 1024
MAX_WEIGHT: typing.Final = 1_000_000
_SHOWN_CHARACTERS: typing.Final = 80

_SHORT: typing.Final = reprlib.Repr()
_SHORT.maxstring = _SHOWN_CHARACTERS
_SHORT.maxlong = _SHOWN_CHARACTERS
_SHORT.maxother = _SHOWN_CHARACTERS


@typing.final
class InvalidResourceError(errors.InvalidInputError):
    """A resource violates the schema of its kind."""

    code = 'invalid-resource'


class Text(typing.NamedTuple):
    """A string that starts with ``prefix``; ``choices`` limits it if set."""

    required: bool = False
    default: str = ''
    choices: tuple[str, ...] = ()
    prefix: str = ''


class Integer(typing.NamedTuple):
    """An integer between two inclusive bounds."""

    minimum: int
    maximum: int
    default: int = 0
    required: bool = False


class Number(typing.NamedTuple):
    """A number between two inclusive bounds."""

    minimum: float
    maximum: float
    default: float = 0
    required: bool = False


class Weights(typing.NamedTuple):
    """A map of names to weights, such as ``{"a": 90, "b": 10}``."""


class Digests(typing.NamedTuple):
    """A list of distinct digests of ``length`` hexadecimal digits."""

    length: int


class Flag(typing.NamedTuple):
    """A boolean."""

    default: bool = False


class Names(typing.NamedTuple):
    """A list of distinct resource names."""

    default: tuple[str, ...] = ()


Field = Text | Integer | Number | Flag | Names | Weights | Digests
Fields = typing.Mapping[str, Field]


def is_unicode(text: str) -> bool:
    """Whether a text is valid Unicode: JSON may escape half a character."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def show(given: typing.Any) -> str:
    """Returns a value for an error message, cut short if it is long.

    What a list or an object holds is left out.
    """
    match given:
        case list():
            return f'a list of {len(given)}'
        case dict():
            return f'an object of {len(given)}'
    return _SHORT.repr(given)


def raise_invalid(
    given: typing.Any, expected: str, *, label: str
) -> typing.NoReturn:
    """Raises InvalidResourceError for a value that breaks a rule."""
    raise InvalidResourceError(
        f'{label}: got {show(given)}, expected {expected}',
    )


def check_name(name: typing.Any, *, label: str) -> str:
    """Returns a valid resource name; raises InvalidResourceError.

    ``label`` says in the error message which value is meant.
    """
    if not isinstance(name, str) or not _NAME_PATTERN.fullmatch(name):
        raise_invalid(name, NAME_RULE, label=label)
    return name


def check_spec(spec: typing.Any, fields: Fields, *, label: str) -> Spec:
    """Returns the spec with defaults filled in.

    Raises InvalidResourceError for an unknown, missing or invalid field.
    """
    if not isinstance(spec, dict):
        raise_invalid(spec, 'an object', label=label)
    unknown = sorted(set(spec) - set(fields))
    if unknown:
        expected = ', '.join(fields)
        raise InvalidResourceError(
            f'{label}: got unknown field {show(unknown[0])}, '
            f'expected only: {expected}',
        )
    return {
        field_name: check_field(
            spec.get(field_name),
            field,
            label=f'{label}.{field_name}',
        )
        for field_name, field in fields.items()
    }


def check_field(given: typing.Any, field: Field, *, label: str) -> typing.Any:
    """Returns a valid value, the default for None.

    Raises InvalidResourceError.
    """
    match field:
        case Text():
            return _check_text(given, field, label=label)
        case Integer():
            return _check_integer(given, field, label=label)
        case Flag():
            if given is None:
                return field.default
            if not isinstance(given, bool):
                raise_invalid(given, 'true or false', label=label)
            return given
        case Names():
            return _check_names(given, field, label=label)
        case Number():
            return _check_number(given, field, label=label)
        case Weights():
            return _check_weights(given, label=label)
        case Digests():
            return _check_digests(given, field, label=label)


def _check_text(given: typing.Any, field: Text, *, label: str) -> str:
    if given is None and not field.required:
        return field.default
    if not isinstance(given, str) or not given:
        raise_invalid(given, 'a non-empty string', label=label)
    if not is_unicode(given):
        raise_invalid(given, 'valid Unicode', label=label)
    if field.choices and given not in field.choices:
        raise_invalid(given, f'one of: {", ".join(field.choices)}', label=label)
    if not given.startswith(field.prefix):
        raise_invalid(
            given, f'a string that starts with {field.prefix!r}', label=label
        )
    return str(given)


def _check_integer(given: typing.Any, field: Integer, *, label: str) -> int:
    if given is None and not field.required:
        return field.default
    expected = f'a whole number from {field.minimum} to {field.maximum}'
    if isinstance(given, bool) or not isinstance(given, int):
        raise_invalid(given, expected, label=label)
    if not field.minimum <= given <= field.maximum:
        raise_invalid(given, expected, label=label)
    return int(given)


def _check_number(given: typing.Any, field: Number, *, label: str) -> float:
    if given is None and not field.required:
        return field.default
    is_number = isinstance(given, (int, float)) and not isinstance(given, bool)
    if not is_number or not field.minimum <= given <= field.maximum:
        raise_invalid(
            given,
            f'a number from {field.minimum} to {field.maximum}',
            label=label,
        )
    return float(given)


def _check_weights(given: typing.Any, *, label: str) -> dict[str, float]:
    if given is None:
        return {}
    if not isinstance(given, dict) or len(given) > _MAX_NAMES:
        raise_invalid(
            given, f'an object of at most {_MAX_NAMES} names', label=label
        )
    if not all(is_unicode(name) for name in given):
        raise_invalid(given, 'names that are valid Unicode', label=label)
    weight = Number(0, MAX_WEIGHT)
    return {
        name: _check_number(share, weight, label=f'{label}.{name}')
        for name, share in given.items()
    }


def _check_names(given: typing.Any, field: Names, *, label: str) -> list[str]:
    if given is None:
        return list(field.default)
    if not isinstance(given, list) or len(given) > _MAX_NAMES:
        raise_invalid(
            given, f'a list of at most {_MAX_NAMES} names', label=label
        )
    names = [check_name(name, label=label) for name in given]
    if len(set(names)) != len(names):
        raise_invalid(given, 'a list without repeats', label=label)
    return names


def _check_digests(
    given: typing.Any, field: Digests, *, label: str
) -> list[str]:
    if given is None:
        return []
    if not isinstance(given, list) or len(given) > _MAX_DIGESTS:
        raise_invalid(
            given, f'a list of at most {_MAX_DIGESTS} digests', label=label
        )
    for position, digest in enumerate(given):
        is_digest = isinstance(digest, str) and _HEX_PATTERN.fullmatch(digest)
        if not is_digest or len(digest) != field.length:
            # It may be a key, so it is not shown.
            raise InvalidResourceError(
                f'{label}[{position}]: expected {field.length} hexadecimal '
                'digits in lower case',
            )
    if len(set(given)) != len(given):
        raise_invalid(given, 'a list without repeats', label=label)
    return given
