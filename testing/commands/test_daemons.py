"""Tests of how long-running subcommands start and stop."""

from __future__ import annotations

import functools
import typing
import unittest
from unittest import mock

from gevent import event

from mulberryquay import settings
from mulberryquay.commands import command, daemons, showcase
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


class _IdleDaemon:
    """A daemon that does nothing."""

    def start(self) -> None:
        """Does nothing."""

    def stop(self) -> None:
        """Does nothing."""


def _order_of_events(run: typing.Callable[[], int]) -> list[str]:
    """Returns the order of installing handlers and the first printed line."""
    order: list[str] = []
    stopping = event.Event()
    stopping.set()

    def catch() -> event.Event:
        order.append('caught')
        return stopping

    with (
        mock.patch.object(command, 'catch_stop_signals', catch),
        mock.patch.object(
            command, 'print_line', lambda _: order.append('said')
        ),
        mock.patch('mulberryquay.logs.configure'),
    ):
        CASE.assertEqual(run(), 0)
    return order[:2]


def test_signal_that_comes_with_the_first_line_is_not_missed() -> None:
    """Guards against a process killed by a signal sent after its first line.

    A reader of the line may send SIGTERM at once, so the handlers must be
    installed before it is printed.
    """
    run_idle = functools.partial(
        daemons.run_until_signal,
        _IdleDaemon(),
        'ports',
    )
    CASE.assertEqual(_order_of_events(run_idle), ['caught', 'said'])
    values = settings.with_defaults(
        showcase.SETTINGS,
        {'listen': '127.0.0.1:0', 'api_listen': '127.0.0.1:0'},
    )
    CASE.assertEqual(
        _order_of_events(
            lambda: showcase.run_demo(values, [], fixtures.KERNEL)
        ),
        ['caught', 'said'],
    )
