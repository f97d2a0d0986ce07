"""Tests of when a request is tried again."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

from mulberryquay.coordination import clock, retry_budget
from mulberryquay.entry import (
    attempt,
    forwarder,
    http_heads,
    outcomes,
    routing,
    service_queue,
)

CASE: typing.Final = unittest.TestCase()
_SERVICE: typing.Final = routing.Service('stock', 1000, 1000, 10)


def _forward(
    ended: typing.Sequence[outcomes.Attempt],
    *,
    is_peer: bool,
    tokens: float = 0,
    time_left: float = 1000,
) -> list[outcomes.Attempt]:
    """Forwards a request whose tries end as given; returns those made."""
    entry_state = mock.MagicMock()
    entry_state.clock = clock.ManualClock()
    entry_state.load_prober = None
    entry_state.guard.is_idle = True
    entry_state.crash_reporter = None
    entry_state.dialect.sends_depth = False
    entry_state.retry_budget_for.return_value = retry_budget.RetryBudget(
        ratio=0,
        reserve=tokens,
    )
    chosen = mock.MagicMock(is_peer=is_peer, reported_at=0, slowness=1)
    chosen.load.return_value = 0
    entry_state.balancer.queue_for.return_value.acquire.return_value = chosen
    call = forwarder.Call(
        service_queue.TargetCriteria(
            _SERVICE,
            routing.ServiceClass(idempotent=True),
            None,
            time_left,
        ),
        attempt.Outgoing(
            b'GET',
            b'/stock/x',
            [],
            http_heads.Framing.NONE,
            b'',
            None,
            time_left,
            b'r-1',
        ),
        may_retry=True,
    )
    made = []
    remaining = list(ended)

    def run(_headers: typing.Any) -> outcomes.Attempt:
        made.append(remaining.pop(0))
        return made[-1]

    with mock.patch.object(attempt, 'Attempt') as trying:
        trying.return_value.run = run
        try:
            forwarder.Forwarder(entry_state, call).forward()
        except outcomes.RefusedError:
            return made
    return made


_NOT_SENT: typing.Final = outcomes.NotSent(outcomes.Reason.CONNECT_FAILED)
_SHED: typing.Final = outcomes.Shed(outcomes.Reason.TARGET_SHED)


def test_entry_that_cannot_be_reached_costs_no_retry() -> None:
    """It stopped just now; the budget is for what targets have to bear."""
    CASE.assertEqual(len(_forward([_NOT_SENT] * 3, is_peer=True)), 3)


def test_target_that_cannot_be_reached_costs_a_retry() -> None:
    """Without a token there is no second try."""
    CASE.assertEqual(len(_forward([_NOT_SENT] * 3, is_peer=False)), 1)
    tried = _forward([_NOT_SENT] * 3, is_peer=False, tokens=1)
    CASE.assertEqual(len(tried), 2)


def test_relayed_request_that_was_shed_costs_a_retry() -> None:
    """A target had it, behind the other entry."""
    CASE.assertEqual(len(_forward([_SHED] * 3, is_peer=True)), 1)


def test_no_time_left_means_no_further_try() -> None:
    """A target that answers at the deadline is not followed by another."""
    short = forwarder.MIN_TRY_MS / 2
    tried = _forward([_SHED] * 3, is_peer=False, tokens=9, time_left=short)
    CASE.assertEqual(len(tried), 1)
