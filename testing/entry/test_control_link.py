"""Tests of how an entry follows control hosts."""

from __future__ import annotations

import contextlib
import typing
import unittest
from unittest import mock

import gevent

from mulberryquay.coordination import wire
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def test_configuration_never_reverts() -> None:
    """An entry must not accept an older configuration.

    A control host that lost its disk comes back at the same address.
    """
    with contextlib.ExitStack() as stack:
        with fixtures.control() as first:
            first.declare()
            feed_port = first.daemon.feed_port
            entry = stack.enter_context(fixtures.entry(first))
            stack.enter_context(fixtures.announced_target(first, 'stock-a'))
            fixtures.wait_for_targets(entry, 'stock-a')
            first.wait_in_force()
        fixtures.wait_until(lambda: not entry.state.is_fresh)
        with fixtures.control(feed_port=feed_port) as emptied:
            known_entries = emptied.daemon.entries.entries
            fixtures.wait_until(lambda: 'entry-1' in known_entries)
            gevent.sleep(0.5)
            CASE.assertFalse(entry.state.is_fresh)
            route = entry.state.routing_table.find_route(b'/stock/x')
            CASE.assertEqual(route.name, 'stock')
            refusal = fixtures.ask(entry, '/stock/x')
            CASE.assertEqual(refusal.outcome, 'not-run/stale-configuration')


def test_entry_tries_the_next_control_host() -> None:
    """An entry must not wait for a control host that cannot be reached."""
    with fixtures.control() as control:
        addresses = f'127.0.0.1:1,127.0.0.1:{control.daemon.feed_port}'
        with fixtures.entry(control, control=addresses) as entry:
            CASE.assertTrue(entry.state.is_fresh)


def test_leaving_target_finishes_its_calls_and_gets_no_others() -> None:
    """A target that leaves must not lose its running call or get new ones."""

    def answer_slowly(_request: target.ReceivedRequest) -> target.Answer:
        gevent.sleep(0.3)
        return target.Answer(body=b'done')

    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare()
        with fixtures.announced_target(
            control, 'stock-a', answer_slowly
        ) as stock:
            fixtures.wait_for_targets(entry, 'stock-a')
            control.wait_in_force()
            running = gevent.spawn(fixtures.ask, entry, '/stock/1')
            fixtures.wait_until(lambda: stock.in_flight)
            control.daemon.targets.leave(
                'stock-a',
                incarnation=control.daemon.targets.get('stock-a').incarnation,
            )
            target_states = entry.state.balancer.all_targets
            fixtures.wait_until(lambda: not target_states['stock-a'].limit)
            refusal = fixtures.ask(entry, '/stock/2')
            CASE.assertEqual(refusal.outcome, 'not-run/no-target')
            CASE.assertEqual(running.get().body, b'done')
            CASE.assertNotIn('GET /stock/2', stock.runs)


def test_reports_that_could_not_be_sent_are_sent_again() -> None:
    """Good answers of a cold target must not be lost with a stream."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare()
        with fixtures.announced_target(control, 'stock-a', warm=False):
            fixtures.wait_for_targets(entry, 'stock-a')
            target_state = entry.state.balancer.all_targets['stock-a']
            with mock.patch.object(
                wire.Stream,
                'send',
                side_effect=wire.StreamClosedError('cut'),
            ):
                target_state.warmup_answers = 3
                target_state.was_overloaded = True
                gevent.sleep(1)
            CASE.assertGreaterEqual(target_state.warmup_answers, 3)
            CASE.assertTrue(target_state.was_overloaded)
            fixtures.wait_until(lambda: not target_state.warmup_answers)


def test_errors_of_a_cold_target_do_not_warm_it() -> None:
    """A target that answers 500 must not get more work for it."""

    def fail(_request: target.ReceivedRequest) -> target.Answer:
        return target.Answer(500)

    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare()
        with fixtures.announced_target(control, 'stock-a', fail, warm=False):
            fixtures.wait_for_targets(entry, 'stock-a')
            control.wait_in_force()
            before = control.daemon.targets.get('stock-a').allowance
            for _ in range(12):
                CASE.assertEqual(fixtures.ask(entry, '/stock/x').status, 500)
            gevent.sleep(1)
            after = control.daemon.targets.get('stock-a').allowance
            CASE.assertEqual(after, before)
