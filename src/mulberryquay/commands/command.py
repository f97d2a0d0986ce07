"""The definition of a subcommand and shared helpers."""

from __future__ import annotations

import signal
import sys
import typing

import gevent
from gevent import event

from mulberryquay import settings
from mulberryquay.kernel import plugins

#: Suffix of the name of an argument that may be given several times.
REPEATABLE_SUFFIX: typing.Final = '...'

RunFunction = typing.Callable[[settings.Values, list[str], plugins.Kernel], int]


class Command(typing.NamedTuple):
    """A subcommand; ``run`` returns the exit code."""

    name: str
    summary: str
    #: Names of the positional arguments, optional ones in brackets.
    arguments: tuple[str, ...]
    settings: tuple[settings.Setting, ...]
    run: RunFunction


def catch_stop_signals() -> event.Event:
    """Returns an event that SIGTERM and SIGINT set from now on."""
    stopping = event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    return stopping


def wait_for_stop_signal() -> None:
    """Waits until the process receives SIGTERM or SIGINT."""
    catch_stop_signals().wait()


def print_line(line: str) -> None:
    """Prints a line and flushes standard output."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
