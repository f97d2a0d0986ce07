"""Tests of targets that name in their answers the rate that they take."""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent

from mulberryquay.coordination import clock
from mulberryquay.entry import daemon, header_names
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

#: What the users' rule allows a target that named a rate: in any window, this
#: many times the rate and some requests more, once the time to react is over.
_WINDOW_MS: typing.Final = 4000.0
_ALLOWED_FACTOR: typing.Final = 1.5
_ALLOWED_EXTRA: typing.Final = 5
_REACTION_MS: typing.Final = 3000.0

_PER_S: typing.Final = 3
_CALL_INTERVAL_MS: typing.Final = 50.0


class _RateLimitedTarget:
    """Handles requests, names a rate limit, and records the arrivals."""

    def __init__(self, per_s: float) -> None:
        self.per_s: float | None = per_s
        self.arrivals: list[float] = []

    def handle(self, _request: target.ReceivedRequest) -> target.Answer:
        """Answers at once."""
        self.arrivals.append(clock.Clock().now())
        if self.per_s is None:
            return target.Answer(body=b'limited')
        limit = (header_names.RATE_LIMIT, b'%.2f' % self.per_s)
        return target.Answer(body=b'limited', headers=[limit])

    def most_in_window(self) -> int:
        """Returns the most arrivals in a window after the reaction time."""
        counted = [
            arrival
            for arrival in self.arrivals
            if arrival >= self.arrivals[0] + _REACTION_MS
        ]
        return max(
            (
                sum(
                    began <= arrival < began + _WINDOW_MS for arrival in counted
                )
                for began in counted
            ),
            default=0,
        )


def _call_repeatedly(
    entry: daemon.EntryDaemon, stopped: list[bool], outcomes: list[str]
) -> None:
    while not stopped:
        outcomes.append(fixtures.ask(entry, '/stock/x').outcome)
        gevent.sleep(_CALL_INTERVAL_MS / clock.MS_PER_SECOND)


def test_all_entries_together_keep_the_rate_that_a_target_named() -> None:
    """Issue 28: the sum over entries must keep the rate, not each of them."""
    limited = _RateLimitedTarget(_PER_S)
    with fixtures.control() as control, contextlib.ExitStack() as stack:
        control.declare(service_class={'idempotent': True})
        stack.enter_context(
            fixtures.announced_target(control, 'limited', limited.handle)
        )
        stack.enter_context(fixtures.announced_target(control, 'free'))
        entries = [
            stack.enter_context(fixtures.entry(control, f'e{number}'))
            for number in range(4)
        ]
        for entry in entries:
            fixtures.wait_for_targets(entry, 'limited', 'free')
        stopped: list[bool] = []
        outcomes: list[str] = []
        callers = [
            gevent.spawn(_call_repeatedly, entry, stopped, outcomes)
            for entry in entries
        ]
        gevent.sleep((_REACTION_MS + _WINDOW_MS) / clock.MS_PER_SECOND)
        stopped.append(True)
        gevent.joinall(callers, raise_error=True)
    allowed = _PER_S * _WINDOW_MS / clock.MS_PER_SECOND
    CASE.assertLessEqual(
        limited.most_in_window(), allowed * _ALLOWED_FACTOR + _ALLOWED_EXTRA
    )
    CASE.assertEqual(set(outcomes), {'answered/none'})
