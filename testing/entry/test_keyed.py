"""Tests of requests with an Idempotency-Key sent through several entries."""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent

from mulberryquay.coordination import clock
from mulberryquay.entry import claim_client, daemon
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def _send_order(
    entry: daemon.EntryDaemon,
    key: str,
    body: bytes = b'one bar',
) -> fixtures.Response:
    return fixtures.ask(
        entry,
        '/order',
        method='POST',
        body=body,
        headers={'Idempotency-Key': key},
    )


class OrderSetup(typing.NamedTuple):
    """Two entries, the port of the ledger and a target for orders."""

    entries: list[daemon.EntryDaemon]
    orders: target.StandInTarget
    ledger_port: int


@contextlib.contextmanager
def _order_setup(
    ledger_port: int,
    handler: target.Handler | None = None,
) -> typing.Iterator[OrderSetup]:
    address = f'127.0.0.1:{ledger_port}'
    with contextlib.ExitStack() as stack:
        control = stack.enter_context(fixtures.control())
        control.declare('order')
        orders = stack.enter_context(
            fixtures.announced_target(control, 'o', handler, service='order'),
        )
        entries = [
            stack.enter_context(fixtures.entry(control, name, ledger=address))
            for name in ('e1', 'e2')
        ]
        for entry in entries:
            fixtures.wait_for_targets(entry, 'o')
            control.wait_in_force()
        yield OrderSetup(entries, orders, ledger_port)


def _wait_connected(setup: OrderSetup) -> None:
    fixtures.wait_until(
        lambda: all(entry.state.claims.is_connected for entry in setup.entries),
    )


def test_same_key_through_two_entries_runs_once() -> None:
    """A resend, concurrent or later, must not run the request again."""

    def answer_slowly(_request: target.ReceivedRequest) -> target.Answer:
        gevent.sleep(0.1)
        return target.Answer(201, b'order 7', [(b'x-order', b'7')])

    with fixtures.folder() as folder, fixtures.ledger(folder) as ledger:
        with _order_setup(ledger.port, answer_slowly) as setup:
            _wait_connected(setup)
            tasks = [
                gevent.spawn(_send_order, entry, 'k1')
                for entry in setup.entries
            ]
            gevent.joinall(tasks, raise_error=True)
            outcomes = sorted(task.value.outcome for task in tasks)
            CASE.assertEqual(outcomes, ['answered/none', 'not-run/key-in-use'])
            for entry in setup.entries:
                stored = _send_order(entry, 'k1')
                CASE.assertEqual(stored.outcome, 'answered/kept-answer')
                CASE.assertEqual(
                    (stored.status, stored.body), (201, b'order 7')
                )
                CASE.assertEqual(stored.headers['x-order'], '7')
            other = _send_order(setup.entries[0], 'k1', b'two bars')
            CASE.assertEqual(other.outcome, 'not-run/key-mismatch')
            CASE.assertEqual(sum(setup.orders.runs.values()), 1)


def test_lost_order_is_unknown_and_never_run_again() -> None:
    """A lost request must not run again: the target may have run it."""

    def close_unanswered(_request: target.ReceivedRequest) -> target.Answer:
        return target.Answer(raw=b'')

    with fixtures.folder() as folder, fixtures.ledger(folder) as ledger:
        with _order_setup(ledger.port, close_unanswered) as setup:
            _wait_connected(setup)
            first = _send_order(setup.entries[0], 'k1')
            CASE.assertEqual(first.outcome, 'unknown/connection-lost')
            again = _send_order(setup.entries[1], 'k1')
            CASE.assertEqual(again.outcome, 'unknown/earlier-run')
            CASE.assertEqual(sum(setup.orders.runs.values()), 1)


def test_order_that_did_not_run_frees_its_key() -> None:
    """A key must stay usable if the target refused the connection."""
    with fixtures.folder() as folder, fixtures.ledger(folder) as ledger:
        with _order_setup(ledger.port) as setup:
            _wait_connected(setup)
            with _unreachable_target(setup):
                refused = _send_order(setup.entries[0], 'k1')
                CASE.assertEqual(refused.outcome, 'not-run/connect-failed')
            again = _send_order(setup.entries[1], 'k1')
            CASE.assertEqual(again.outcome, 'answered/none')


@contextlib.contextmanager
def _unreachable_target(setup: OrderSetup) -> typing.Iterator[None]:
    """Makes the first entry's connections to the target fail."""
    target_states = setup.entries[0].state.balancer.all_targets
    pool = target_states['o'].pool
    pool.close_idle()
    address = pool.address
    pool.address = ('127.0.0.1', 1)
    try:
        yield
    finally:
        pool.address = address


def test_claims_survive_a_restart_of_the_ledger() -> None:
    """A restart of the ledger must not lose claims.

    No keyed request runs while it is down.
    """
    with fixtures.folder() as folder:
        with fixtures.ledger(folder) as first:
            port = first.port
            with _order_setup(port) as setup:
                _wait_connected(setup)
                entry = setup.entries[0]
                CASE.assertEqual(
                    _send_order(entry, 'k1').outcome, 'answered/none'
                )
                first.stop()
                fixtures.wait_until(lambda: not entry.state.claims.is_connected)
                refused = _send_order(entry, 'k2')
                CASE.assertEqual(refused.outcome, 'not-run/ledger-unavailable')
                with fixtures.ledger(folder, port=port):
                    _wait_connected(setup)
                    CASE.assertEqual(
                        _send_order(entry, 'k1').outcome,
                        'answered/kept-answer',
                    )
                    CASE.assertEqual(
                        _send_order(entry, 'k2').outcome,
                        'answered/none',
                    )
                CASE.assertEqual(sum(setup.orders.runs.values()), 2)


def test_key_without_a_ledger_is_refused() -> None:
    """A key must not be ignored, because the caller relies on it.

    A keyed request with too large a body is refused, too.
    """
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare('order')
        with fixtures.announced_target(control, 'o', service='order') as orders:
            fixtures.wait_for_targets(entry, 'o')
            control.wait_in_force()
            answer = _send_order(entry, 'k1')
            CASE.assertEqual(answer.outcome, 'not-run/ledger-unavailable')
            too_large = _send_order(entry, 'k1', bytes(70_000))
            CASE.assertEqual(too_large.status, 413)
            CASE.assertFalse(orders.runs)


def test_claims_that_were_never_sent_leave_nothing_behind() -> None:
    """Each kept a settlement until the ledger was back (issue 53)."""
    client = claim_client.ClaimClient('e', None, clock.Clock())
    for number in range(3):
        with CASE.assertRaises(claim_client.LedgerUnavailableError):
            client.claim(f'key-{number}', b'd', timeout=100)
    CASE.assertEqual(client.unsettled_count, 0)
