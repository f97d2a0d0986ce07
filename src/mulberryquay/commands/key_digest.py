"""The subcommand that makes the digest under which a key is kept."""

from __future__ import annotations

import sys

from mulberryquay import settings
from mulberryquay.accounts import keys
from mulberryquay.commands import command
from mulberryquay.coordination import errors
from mulberryquay.kernel import plugins


class NoKeyError(errors.InvalidInputError):
    """Standard input has no key."""

    code = 'no-key'


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers ``key-digest``."""
    kernel.commands.add(
        'key-digest',
        command.Command(
            'key-digest',
            'print the digest of a key, which is read from standard input',
            (),
            (),
            run_key_digest,
        ),
    )


def run_key_digest(
    _values: settings.Values,
    _arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Prints the digest of the first line of standard input."""
    key = sys.stdin.readline().strip()
    if not key:
        raise NoKeyError('got no key, expected one on standard input')
    command.print_line(keys.digest_of(key.encode()))
    return 0
