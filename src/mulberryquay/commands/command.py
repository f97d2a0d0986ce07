"""What a subcommand is made of."""

from __future__ import annotations

import signal
import sys
import typing

import gevent
from gevent import event

from mulberryquay import settings
from mulberryquay.kernel import plugins

#: Ends the name of an argument that may be given several times.
SEVERAL: typing.Final = '...'

Run = typing.Callable[[settings.Values, list[str], plugins.Kernel], int]


class Command(typing.NamedTuple):
    """One subcommand; ``run`` returns the exit code."""

    name: str
    summary: str
    #: Names of the arguments that follow the flags.
    arguments: tuple[str, ...]
    settings: tuple[settings.Setting, ...]
    run: Run


def catch_stop() -> event.Event:
    """Returns an event that is set by SIGTERM and SIGINT from now on."""
    stopping = event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    return stopping


def wait_for_stop() -> None:
    """Returns when the process gets SIGTERM or SIGINT."""
    catch_stop().wait()


def print_line(line: str) -> None:
    """Prints a line at once."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
