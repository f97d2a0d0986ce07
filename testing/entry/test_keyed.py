"""Keyed requests through several entries, kills and restarts."""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent

from mulberryquay.entry import daemon
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def _order(
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


class Shop(typing.NamedTuple):
    """Two entries, a ledger's port and a target that takes orders."""

    entries: list[daemon.EntryDaemon]
    orders: target.StandInTarget
    ledger_port: int


@contextlib.contextmanager
def _shop(
    ledger_port: int,
    handler: target.Handler | None = None,
) -> typing.Iterator[Shop]:
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
        yield Shop(entries, orders, ledger_port)


def _wait_connected(shop: Shop) -> None:
    fixtures.wait_until(
        lambda: all(entry.state.claims.is_connected for entry in shop.entries),
    )


def test_same_key_through_two_entries_runs_once() -> None:
    """At once, and again later with the lost answer."""

    def slow(_request: target.ReceivedRequest) -> target.Answer:
        gevent.sleep(0.1)
        return target.Answer(201, b'order 7', [(b'x-order', b'7')])

    with fixtures.folder() as folder, fixtures.ledger(folder) as ledger:
        with _shop(ledger.port, slow) as shop:
            _wait_connected(shop)
            tasks = [
                gevent.spawn(_order, entry, 'k1') for entry in shop.entries
            ]
            gevent.joinall(tasks, raise_error=True)
            outcomes = sorted(task.value.outcome for task in tasks)
            CASE.assertEqual(outcomes, ['answered/none', 'not-run/key-in-use'])
            for entry in shop.entries:
                kept = _order(entry, 'k1')
                CASE.assertEqual(kept.outcome, 'answered/kept-answer')
                CASE.assertEqual((kept.status, kept.body), (201, b'order 7'))
                CASE.assertEqual(kept.headers['x-order'], '7')
            other = _order(shop.entries[0], 'k1', b'two bars')
            CASE.assertEqual(other.outcome, 'not-run/key-mismatch')
            CASE.assertEqual(sum(shop.orders.runs.values()), 1)


def test_lost_order_is_unknown_and_never_run_again() -> None:
    """The target took the order and broke."""

    def broken(_request: target.ReceivedRequest) -> target.Answer:
        return target.Answer(raw=b'')

    with fixtures.folder() as folder, fixtures.ledger(folder) as ledger:
        with _shop(ledger.port, broken) as shop:
            _wait_connected(shop)
            first = _order(shop.entries[0], 'k1')
            CASE.assertEqual(first.outcome, 'unknown/connection-lost')
            again = _order(shop.entries[1], 'k1')
            CASE.assertEqual(again.outcome, 'unknown/earlier-run')
            CASE.assertEqual(sum(shop.orders.runs.values()), 1)


def test_order_that_did_not_run_frees_its_key() -> None:
    """Its target refused the connection; the resend finds it back."""
    with fixtures.folder() as folder, fixtures.ledger(folder) as ledger:
        with _shop(ledger.port) as shop:
            _wait_connected(shop)
            with _out_of_reach(shop):
                refused = _order(shop.entries[0], 'k1')
                CASE.assertEqual(refused.outcome, 'not-run/connect-failed')
            again = _order(shop.entries[1], 'k1')
            CASE.assertEqual(again.outcome, 'answered/none')


@contextlib.contextmanager
def _out_of_reach(shop: Shop) -> typing.Iterator[None]:
    """Makes the first entry's connections to the target fail."""
    known = shop.entries[0].state.balancer.all_targets
    pool = known['o'].pool
    pool.close_idle()
    address = pool.address
    pool.address = ('127.0.0.1', 1)
    try:
        yield
    finally:
        pool.address = address


def test_claims_survive_a_restart_of_the_ledger() -> None:
    """Without a ledger nothing keyed runs; afterwards nothing is lost."""
    with fixtures.folder() as folder:
        with fixtures.ledger(folder) as first:
            port = first.port
            with _shop(port) as shop:
                _wait_connected(shop)
                entry = shop.entries[0]
                CASE.assertEqual(_order(entry, 'k1').outcome, 'answered/none')
                first.stop()
                fixtures.wait_until(lambda: not entry.state.claims.is_connected)
                refused = _order(entry, 'k2')
                CASE.assertEqual(refused.outcome, 'not-run/ledger-unavailable')
                with fixtures.ledger(folder, port=port):
                    _wait_connected(shop)
                    CASE.assertEqual(
                        _order(entry, 'k1').outcome,
                        'answered/kept-answer',
                    )
                    CASE.assertEqual(
                        _order(entry, 'k2').outcome,
                        'answered/none',
                    )
                CASE.assertEqual(sum(shop.orders.runs.values()), 2)


def test_key_without_a_ledger_is_refused() -> None:
    """The caller relies on it, so it must not be passed over."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare('order')
        with fixtures.announced_target(control, 'o', service='order') as orders:
            fixtures.wait_for_targets(entry, 'o')
            control.wait_in_force()
            answer = _order(entry, 'k1')
            CASE.assertEqual(answer.outcome, 'not-run/ledger-unavailable')
            too_large = _order(entry, 'k1', bytes(70_000))
            CASE.assertEqual(too_large.status, 413)
            CASE.assertFalse(orders.runs)
