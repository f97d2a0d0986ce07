"""The command line: selects a subcommand, checks its settings, runs it."""

from __future__ import annotations

import sys
import typing

from mulberryquay import settings
from mulberryquay.commands import command
from mulberryquay.coordination import errors
from mulberryquay.kernel import plugins

#: Exit codes.
EXIT_FAILURE: typing.Final = 1
EXIT_BAD_USAGE: typing.Final = 2

_HELP_FLAGS: typing.Final = frozenset(('-h', '--help', 'help'))


def run(arguments: typing.Sequence[str] | None = None) -> int:
    """Runs one subcommand and returns the exit code."""
    if arguments is None:
        arguments = sys.argv[1:]
    kernel = plugins.load_kernel()
    if not arguments or arguments[0] in _HELP_FLAGS:
        command.print_line(usage(kernel))
        return 0 if arguments else EXIT_BAD_USAGE
    try:
        return _run_command(kernel, arguments)
    except errors.InvalidInputError as error:
        _print_error(error)
        return EXIT_BAD_USAGE
    except errors.MulberryquayError as error:
        _print_error(error)
        return EXIT_FAILURE


def usage(kernel: plugins.Kernel) -> str:
    """Returns the usage text with the list of subcommands."""
    lines = ['usage: mulberryquay COMMAND [FLAGS] [ARGUMENTS]', '']
    for name in kernel.commands.names:
        lines.append(f'  {name:<10} {kernel.commands.get(name).summary}')
    lines += ['', 'mulberryquay COMMAND --help lists the flags of a command.']
    return '\n'.join(lines)


@typing.final
class BadUsageError(errors.InvalidInputError):
    """The command is unknown or its arguments are wrong."""

    code = 'bad-usage'


def _run_command(
    kernel: plugins.Kernel,
    arguments: typing.Sequence[str],
) -> int:
    name, *rest = arguments
    if name not in kernel.commands.names:
        known = ', '.join(kernel.commands.names)
        raise BadUsageError(f'got command {name!r}, expected one of: {known}')
    subcommand: command.Command = kernel.commands.get(name)
    if _HELP_FLAGS.intersection(rest):
        command.print_line(_describe(subcommand))
        return 0
    expanded = ['--file' if argument == '-f' else argument for argument in rest]
    values, positional = settings.parse(subcommand.settings, expanded)
    _check_arguments(subcommand, positional)
    return subcommand.run(values, positional, kernel)


def _check_arguments(subcommand: command.Command, given: list[str]) -> None:
    required = [
        name for name in subcommand.arguments if not name.startswith('[')
    ]
    accepts_more = bool(required) and required[-1].endswith(
        command.REPEATABLE_SUFFIX
    )
    maximum = len(given) if accepts_more else len(subcommand.arguments)
    if not len(required) <= len(given) <= maximum:
        expected = ' '.join(subcommand.arguments) or 'none'
        raise BadUsageError(
            f'{subcommand.name}: got arguments {given!r}, expected: {expected}',
        )


def _describe(subcommand: command.Command) -> str:
    flags = settings.format_help(subcommand.settings)
    arguments = ''.join(f' {name}' for name in subcommand.arguments)
    return (
        f'usage: mulberryquay {subcommand.name} [FLAGS]{arguments}\n\n'
        f'{subcommand.summary}\n\n{flags}'
    ).rstrip()


def _print_error(error: errors.MulberryquayError) -> None:
    sys.stderr.write(f'mulberryquay: {error.code}: {error}\n')
