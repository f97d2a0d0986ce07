"""Tests of the budgets for probes and retries."""

from __future__ import annotations

import contextlib
import time
import typing
import unittest
from unittest import mock

import gevent

from mulberryquay.coordination import clock, token_bucket
from mulberryquay.entry import daemon, outcomes, prober
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def test_bucket_never_grants_more_than_its_rate() -> None:
    """A bucket must not grant more tokens than its rate and burst allow.

    Tokens are taken at irregular times."""
    manual_clock = clock.ManualClock()
    bucket = token_bucket.TokenBucket(manual_clock, rate=5, burst=2)
    granted = 0
    for step in range(1000):
        manual_clock.advance(step % 7)
        granted += bucket.take()
        elapsed_s = manual_clock.now() / 1000
        CASE.assertLessEqual(granted, 2 + 5 * elapsed_s)
    CASE.assertGreater(granted, 14)


def test_probes_of_a_failed_target_stay_in_their_budget() -> None:
    """Entries must not multiply the probes of a target that all see failed.

    Only one of the three entries probes it.
    """
    rate = 20

    def fail(request: target.ReceivedRequest) -> target.Answer:
        CASE.assertEqual(request.head.path, b'/healthz')
        return target.Answer(500)

    with contextlib.ExitStack() as stack:
        control = stack.enter_context(fixtures.control())
        control.declare()
        stock = stack.enter_context(
            fixtures.announced_target(control, 'a', fail)
        )
        began = time.monotonic()
        entries = [
            stack.enter_context(
                fixtures.entry(
                    control,
                    f'e{number}',
                    probes_per_target_s=rate,
                ),
            )
            for number in range(3)
        ]
        for entry in entries:
            fixtures.wait_for_targets(entry, 'a')
            entry.state.balancer.all_targets['a'].record_failure(
                outcomes.Reason.CONNECTION_LOST
            )
        fixtures.wait_until(lambda: stock.runs['GET /healthz'] > 12)
        elapsed = time.monotonic() - began
        probes = stock.runs['GET /healthz']
        CASE.assertLessEqual(probes, 1 + rate * elapsed)
        counted = [_probe_bytes(entry) for entry in entries]
        CASE.assertGreaterEqual(sum(counted), probes * prober.PROBE_BYTES)
        CASE.assertEqual(sum(1 for spent in counted if spent), 1)


def _probe_bytes(entry: daemon.EntryDaemon) -> float:
    read_metric = entry.state.metrics.read
    CASE.assertEqual(
        read_metric('mulberryquay_probe_bytes_total', 'cross-region'),
        0,
    )
    return read_metric('mulberryquay_probe_bytes_total', 'same-region')


def test_successful_probe_ends_a_suspension() -> None:
    """A recovered target must not stay suspended until a request is sent."""
    with (
        fixtures.control() as control,
        fixtures.entry(control, probes_per_target_s=20) as entry,
        fixtures.announced_target(control, 'a'),
    ):
        control.declare()
        fixtures.wait_for_targets(entry, 'a')
        target_state = entry.state.balancer.all_targets['a']
        for _failure in range(8):
            target_state.record_failure(outcomes.Reason.CONNECTION_LOST)
        fixtures.wait_until(lambda: not target_state.has_failed)
        CASE.assertEqual(target_state.suspended_until, 0)


def test_full_outage_is_not_amplified() -> None:
    """Retries must not add more than 20 % of calls while every target fails."""
    calls = 200
    with contextlib.ExitStack() as stack:
        control = stack.enter_context(fixtures.control())
        control.declare(service_class={'idempotent': True, 'max_attempts': 5})
        failing_targets = stack.enter_context(
            fixtures.enter_all(
                fixtures.announced_target(
                    control, f't{number}', _answer_unavailable
                )
                for number in range(6)
            ),
        )
        entry = stack.enter_context(fixtures.entry(control))
        fixtures.wait_for_targets(entry, *(f't{n}' for n in range(6)))
        control.wait_in_force()
        for number in range(calls):
            fixtures.ask(entry, f'/stock/{number}')
        runs = sum(
            sum(each.runs[f'GET /stock/{number}'] for number in range(calls))
            for each in failing_targets
        )
    CASE.assertGreater(runs, calls)
    CASE.assertLessEqual(runs, calls * 1.2)


def _answer_unavailable(_request: target.ReceivedRequest) -> target.Answer:
    return target.Answer(503)


def test_call_tree_retries_at_one_level_only() -> None:
    """Retries at each level of a call tree must not multiply.

    The leaf fails, and each level calls the next through the entry.
    """
    depth = 8
    leaf_runs: list[str] = []
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare(service_class={'idempotent': True, 'max_attempts': 3})

        def call_down(request: target.ReceivedRequest) -> target.Answer:
            level = int(request.head.path.rpartition(b'/')[2])
            if level == depth:
                leaf_runs.append('ran')
                return target.Answer(503)
            below = fixtures.ask(
                entry,
                f'/stock/{level + 1}',
                headers=_propagated_headers(request),
            )
            no_retry_headers = []
            if 'mulberryquay-no-retry' in below.headers:
                no_retry_headers.append((b'mulberryquay-no-retry', b'1'))
            return target.Answer(below.status, headers=no_retry_headers)

        with fixtures.enter_all(
            fixtures.announced_target(
                control, f't{number}', call_down, slots=64
            )
            for number in range(4)
        ):
            fixtures.wait_for_targets(entry, *(f't{n}' for n in range(4)))
            control.wait_in_force()
            budget = entry.state.retry_budget_for('stock')
            with mock.patch.object(budget, 'withdraw', return_value=True):
                answer = fixtures.ask(entry, '/stock/0')
    CASE.assertEqual(answer.status, 503)
    # Without the no-retry headers there would be 3 to the power of 9 runs.
    CASE.assertLessEqual(len(leaf_runs), 3)


def _propagated_headers(request: target.ReceivedRequest) -> dict[str, str]:
    """Returns the headers that a target must pass on to nested calls."""
    return {
        name.decode(): header.decode()
        for name, header in request.head.known_headers
        if name.startswith(b'mulberryquay-')
        and name != b'mulberryquay-request-id'
    }


def test_depth_limit_ends_a_loop_of_calls() -> None:
    """A target that calls itself must not do so for more than 30 levels."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare()
        runs: list[int] = []

        def loop(request: target.ReceivedRequest) -> target.Answer:
            runs.append(1)
            below = fixtures.ask(
                entry,
                '/stock/x',
                headers=_propagated_headers(request),
            )
            return target.Answer(below.status)

        with fixtures.announced_target(control, 'a', loop, slots=64):
            fixtures.wait_for_targets(entry, 'a')
            control.wait_in_force()
            answer = fixtures.ask(entry, '/stock/x')
            CASE.assertEqual(answer.status, 508)
            CASE.assertEqual(len(runs), 30)
            gevent.sleep(0)
