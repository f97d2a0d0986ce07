"""Tests of when a request is retried."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

from mulberryquay.coordination import clock, crash_guard, retry_budget
from mulberryquay.entry import (
    attempt,
    dialect,
    forwarder,
    header_names,
    http_heads,
    outcomes,
    planned_stop,
    routing,
    service_queue,
)

CASE: typing.Final = unittest.TestCase()
_SERVICE: typing.Final = routing.Service('stock', 1000, 1000, 10)


def _forward(
    results: typing.Sequence[outcomes.AttemptResult],
    *,
    is_peer: bool,
    tokens: float = 0,
    time_left: float = 1000,
    verdict: crash_guard.Verdict = crash_guard.Verdict.HARMLESS,
) -> list[outcomes.AttemptResult]:
    """Forwards a request with these results; returns those consumed."""
    entry_state = mock.MagicMock()
    entry_state.clock = clock.ManualClock()
    entry_state.planned_stop = planned_stop.PlannedStop(entry_state.clock)
    entry_state.load_prober = None
    guard = entry_state.crashes.guard_for.return_value
    guard.is_idle = verdict is crash_guard.Verdict.HARMLESS
    guard.verdict_of.return_value = verdict
    entry_state.crashes.reporter = None
    entry_state.dialect.sends_depth = False
    entry_state.retry_budget_for.return_value = retry_budget.RetryBudget(
        ratio=0,
        reserve=tokens,
    )
    target = mock.MagicMock(is_peer=is_peer, reported_at=0, slowness=1)
    target.load.return_value = 0
    entry_state.balancer.queue_for.return_value.acquire.return_value = target
    request = forwarder.AdmittedRequest(
        service_queue.TargetCriteria(
            _SERVICE,
            routing.ServiceClass(idempotent=True),
            None,
            time_left,
        ),
        attempt.OutgoingRequest(
            b'GET',
            b'/stock/x',
            http_heads.HeaderBlock(),
            http_heads.Framing.NONE,
            b'',
            None,
            time_left,
            b'r-1',
        ),
        may_retry=True,
    )
    consumed = []
    remaining = list(results)

    def run(_headers: typing.Any) -> outcomes.AttemptResult:
        consumed.append(remaining.pop(0))
        return consumed[-1]

    with mock.patch.object(attempt, 'Attempt') as attempt_class:
        attempt_class.return_value.run = run
        try:
            forwarder.Forwarder(entry_state, request).forward()
        except outcomes.RefusedError:
            return consumed
    return consumed


_NOT_SENT: typing.Final = outcomes.NotSent(outcomes.Reason.CONNECT_FAILED)
_SHED: typing.Final = outcomes.Shed(outcomes.Reason.TARGET_SHED)


def test_entry_that_cannot_be_reached_costs_no_retry() -> None:
    """An unreachable entry must not use up the retry budget.

    The budget limits load on targets, and a stopped entry adds none.
    """
    CASE.assertEqual(len(_forward([_NOT_SENT] * 3, is_peer=True)), 3)


def test_target_that_cannot_be_reached_costs_a_retry() -> None:
    """An unreachable target must not be retried without a retry token."""
    CASE.assertEqual(len(_forward([_NOT_SENT] * 3, is_peer=False)), 1)
    consumed = _forward([_NOT_SENT] * 3, is_peer=False, tokens=1)
    CASE.assertEqual(len(consumed), 2)


def test_relayed_request_that_was_shed_costs_a_retry() -> None:
    """A relayed request that a target shed must not be retried for free.

    A target behind the other entry has already received it.
    """
    CASE.assertEqual(len(_forward([_SHED] * 3, is_peer=True)), 1)


def test_entry_that_reached_no_target_costs_no_retry() -> None:
    """An entry that lost its share must not use up the retry budget."""
    for reason in (outcomes.Reason.NO_TARGET, outcomes.Reason.ENTRY_STOPPING):
        refusals = [outcomes.Shed(reason)] * 3
        CASE.assertEqual(len(_forward(refusals, is_peer=True)), 3)
        CASE.assertEqual(len(_forward(refusals, is_peer=False)), 1)


def test_no_time_left_means_no_further_attempt() -> None:
    """An attempt just before the deadline must not load a target in vain."""
    short = forwarder.MIN_ATTEMPT_MS / 2
    consumed = _forward([_SHED] * 3, is_peer=False, tokens=9, time_left=short)
    CASE.assertEqual(len(consumed), 1)


def _classify_relayed(headers: http_heads.Headers) -> outcomes.AttemptResult:
    """Returns the result of an attempt at an entry that answers so."""
    peer = mock.MagicMock(is_peer=True, dialect=dialect.OWN, connection_limit=1)
    head = http_heads.ResponseHead(
        200,
        http_heads.HeaderBlock(),
        headers,
        http_heads.Framing.LENGTH,
        0,
        keeps_alive=True,
    )
    connection = peer.pool.take.return_value
    connection.socket.send.side_effect = len
    connection.reader.read_head.return_value = head
    connection.reader.read_part.return_value = None
    outgoing = attempt.OutgoingRequest(
        b'GET',
        b'/stock/x',
        http_heads.HeaderBlock(),
        http_heads.Framing.NONE,
        b'',
        None,
        1000,
    )
    return attempt.Attempt(
        peer, outgoing, clock.ManualClock(), mock.MagicMock()
    ).run([])


def test_relayed_answer_with_unknown_words_may_have_run() -> None:
    """Another release's outcome or reason must not be an unexpected error."""
    for outcome, reason in (
        (b'postponed', b'none'),
        (b'answered', b'a-new-reason'),
        (b'', b''),
    ):
        result = _classify_relayed(
            [(header_names.OUTCOME, outcome), (header_names.REASON, reason)]
        )
        CASE.assertEqual(
            result, outcomes.Lost(outcomes.Reason.MALFORMED_ANSWER)
        )
    relayed = _classify_relayed(
        [(header_names.OUTCOME, b'answered'), (header_names.REASON, b'none')]
    )
    CASE.assertIsInstance(relayed, outcomes.Received)


def test_suspected_request_is_not_retried_once_it_may_have_run() -> None:
    """Each retry of a request that crashes targets costs one more."""
    lost = outcomes.Lost(outcomes.Reason.CONNECTION_LOST)
    not_sent = outcomes.NotSent(outcomes.Reason.CONNECT_FAILED)
    rows: list[tuple[list[outcomes.AttemptResult], int]] = [
        ([lost, lost], 1),
        ([not_sent, lost, lost], 2),
    ]
    for results, expected in rows:
        consumed = _forward(
            results,
            is_peer=False,
            tokens=9,
            verdict=crash_guard.Verdict.SUSPECTED,
        )
        CASE.assertEqual(len(consumed), expected)
