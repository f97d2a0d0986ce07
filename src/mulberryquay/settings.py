"""Reads settings from flags and environment variables."""

from __future__ import annotations

import ipaddress
import os
import re
import typing

from mulberryquay.coordination import errors, units

#: The flag ``entry_port`` is also read from ``MULBERRYQUAY_ENTRY_PORT``.
ENVIRONMENT_PREFIX: typing.Final = 'MULBERRYQUAY_'

_MAX_PORT: typing.Final = 65535
_NAME_PATTERN: typing.Final = re.compile('[a-z0-9]([a-z0-9.-]{0,62})')


@typing.final
class InvalidSettingError(errors.InvalidInputError):
    """A flag or environment variable has a value that is not allowed."""

    code = 'invalid-setting'


class Setting(typing.NamedTuple):
    """Declares one setting; its type is that of ``default``."""

    name: str
    default: str | int | bool
    help: str
    #: Inclusive bounds of a number.
    minimum: int = 0
    maximum: int = units.MAX_INT64
    #: Format of a string: any, name, address, addresses or path.
    text_format: str = 'any'
    choices: tuple[str, ...] = ()
    required: bool = False


Values = dict[str, typing.Any]

LISTEN_HELP: typing.Final = (
    'address to listen on, as IP:PORT; port 0 selects a free port'
)

LOG_LEVEL: typing.Final = Setting(
    'log_level',
    'info',
    'the lowest level of log lines to write',
    choices=('debug', 'info', 'warning', 'error'),
)

MEMORY_MB: typing.Final = Setting(
    'memory_mb',
    0,
    'memory of the machine in MiB, from which limits of what clients hold are '
    'derived; 0 for what the machine has',
    maximum=units.MAX_INT64 // units.MIB,
)


def parse(
    declared: typing.Sequence[Setting],
    arguments: typing.Sequence[str],
    *,
    environment: typing.Mapping[str, str] | None = None,
) -> tuple[Values, list[str]]:
    """Returns the settings and the positional arguments.

    A flag takes precedence over its environment variable, and that over
    the default. Raises InvalidSettingError, which names the flag, the
    value and the allowed values.
    """
    # Imported here so that processes without flags do not load absl, which
    # takes memory.
    from absl import flags  # noqa: PLC0415, WPS433

    if environment is None:
        environment = os.environ
    flag_values = flags.FlagValues()
    for setting in declared:
        _define(setting, flags, flag_values)
    from_environment = [
        f'--{setting.name}={environment[variable]}'
        for setting in declared
        if (variable := ENVIRONMENT_PREFIX + setting.name.upper())
        in environment
    ]
    try:
        rest = flag_values(['mulberryquay', *from_environment, *arguments])
    except flags.Error as error:
        raise InvalidSettingError(f'{error}; see --help') from error
    settings = {
        setting.name: _check(setting, flag_values[setting.name].value)
        for setting in declared
    }
    return settings, rest[1:]


def defaults(declared: typing.Sequence[Setting]) -> Values:
    """Returns the default of each setting by name."""
    return {setting.name: setting.default for setting in declared}


def with_defaults(
    declared: typing.Sequence[Setting],
    given: typing.Mapping[str, typing.Any],
) -> Values:
    """Returns the given values, checked, with defaults for all others.

    Raises InvalidSettingError.
    """
    values = {**defaults(declared), **given}
    return {
        setting.name: _check(setting, values[setting.name])
        for setting in declared
    }


def parse_address(address: str) -> tuple[str, int]:
    """Splits an ``IP:PORT`` that has been validated."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def format_help(declared: typing.Sequence[Setting]) -> str:
    """Returns the help text of the settings, one line each."""
    return '\n'.join(
        f'  --{setting.name}  {setting.help} '
        f'({describe_allowed(setting)}; default {setting.default!r})'
        for setting in declared
    )


def describe_allowed(setting: Setting) -> str:
    """Returns a description of the values that a setting accepts."""
    if isinstance(setting.default, bool):
        return 'true or false'
    if isinstance(setting.default, int):
        return f'a whole number from {setting.minimum} to {setting.maximum}'
    if setting.choices:
        return 'one of: ' + ', '.join(setting.choices)
    return {
        'any': 'a string',
        'name': 'a name of 1 to 63 characters from a-z, 0-9, "-" and ".", '
        'the first one from a-z and 0-9',
        'address': 'an address as IP:PORT',
        'addresses': 'addresses as IP:PORT, separated by commas',
        'path': 'a path',
    }[setting.text_format]


def _define(
    setting: Setting,
    flags: typing.Any,
    flag_values: typing.Any,
) -> None:
    define = flags.DEFINE_string
    if isinstance(setting.default, bool):
        define = flags.DEFINE_boolean
    elif isinstance(setting.default, int):
        define = flags.DEFINE_integer
    define(
        setting.name,
        setting.default,
        setting.help,
        flag_values=flag_values,
    )


def _check(setting: Setting, value: typing.Any) -> typing.Any:
    if not _is_allowed(setting, value):
        raise InvalidSettingError(
            f'--{setting.name}: got {value!r}, '
            f'expected {describe_allowed(setting)}',
        )
    return value


def _is_allowed(setting: Setting, value: typing.Any) -> bool:
    if isinstance(value, bool):
        return True
    if isinstance(value, int):
        return setting.minimum <= value <= setting.maximum
    if setting.choices:
        return value in setting.choices
    if not value:
        return not setting.required
    if setting.text_format == 'name':
        return bool(_NAME_PATTERN.fullmatch(value))
    if setting.text_format in {'address', 'addresses'}:
        is_list = setting.text_format == 'addresses'
        parts = value.split(',') if is_list else [value]
        return all(_is_address(part) for part in parts)
    return True


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and int(port) <= _MAX_PORT
