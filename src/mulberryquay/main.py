"""The command line: finds the subcommand, checks its settings, runs it."""

from __future__ import annotations

import sys
import typing

from mulberryquay import settings
from mulberryquay.commands import command
from mulberryquay.coordination import errors
from mulberryquay.kernel import plugins

#: Exit codes.
FAILURE: typing.Final = 1
BAD_USAGE: typing.Final = 2

_HELP_FLAGS: typing.Final = frozenset(('-h', '--help', 'help'))


def run(arguments: typing.Sequence[str] | None = None) -> int:
    """Runs one subcommand and returns the exit code."""
    if arguments is None:
        arguments = sys.argv[1:]
    kernel = plugins.load_kernel()
    if not arguments or arguments[0] in _HELP_FLAGS:
        command.print_line(usage(kernel))
        return 0 if arguments else BAD_USAGE
    try:
        return _run_command(kernel, arguments)
    except errors.InvalidInputError as error:
        _complain(error)
        return BAD_USAGE
    except errors.MulberryquayError as error:
        _complain(error)
        return FAILURE


def usage(kernel: plugins.Kernel) -> str:
    """Returns the list of subcommands."""
    lines = ['usage: mulberryquay COMMAND [FLAGS] [ARGUMENTS]', '']
    for name in kernel.commands.names:
        lines.append(f'  {name:<9} {kernel.commands.get(name).summary}')
    lines += ['', 'mulberryquay COMMAND --help lists the flags of a command.']
    return '\n'.join(lines)


@typing.final
class BadUsageError(errors.InvalidInputError):
    """The command line has an unknown command or wrong arguments."""

    code = 'bad-usage'


def _run_command(
    kernel: plugins.Kernel,
    arguments: typing.Sequence[str],
) -> int:
    name, *rest = arguments
    if name not in kernel.commands.names:
        known = ', '.join(kernel.commands.names)
        raise BadUsageError(f'got command {name!r}, expected one of: {known}')
    chosen: command.Command = kernel.commands.get(name)
    if _HELP_FLAGS.intersection(rest):
        command.print_line(_describe(chosen))
        return 0
    short = ['--file' if part == '-f' else part for part in rest]
    values, positional = settings.parse(chosen.settings, short)
    _check_arguments(chosen, positional)
    return chosen.run(values, positional, kernel)


def _check_arguments(chosen: command.Command, got: list[str]) -> None:
    required = [name for name in chosen.arguments if not name.startswith('[')]
    is_open = bool(required) and required[-1].endswith(command.SEVERAL)
    maximum = len(got) if is_open else len(chosen.arguments)
    if not len(required) <= len(got) <= maximum:
        expected = ' '.join(chosen.arguments) or 'none'
        raise BadUsageError(
            f'{chosen.name}: got arguments {got!r}, expected: {expected}',
        )


def _describe(chosen: command.Command) -> str:
    flags = settings.describe(chosen.settings)
    arguments = ''.join(f' {name}' for name in chosen.arguments)
    return (
        f'usage: mulberryquay {chosen.name} [FLAGS]{arguments}\n\n'
        f'{chosen.summary}\n\n{flags}'
    ).rstrip()


def _complain(error: errors.MulberryquayError) -> None:
    sys.stderr.write(f'mulberryquay: {error.code}: {error}\n')
